//! The stored list of machines whose leases a follower renews.

use crate::protocol::codec::json_len;
use serde::{Deserialize, Serialize};

/// A name without the prefix that it shares with the previous name; stored as an array.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u16, String)", into = "(u16, String)")]
struct PrefixedName {
    /// Length of the shared prefix, in bytes.
    shared_length: u16,
    /// Remainder of the name.
    suffix: String,
}

impl From<(u16, String)> for PrefixedName {
    fn from((shared_length, suffix): (u16, String)) -> PrefixedName {
        PrefixedName {
            shared_length,
            suffix,
        }
    }
}

impl From<PrefixedName> for (u16, String) {
    fn from(name: PrefixedName) -> (u16, String) {
        (name.shared_length, name.suffix)
    }
}

impl PrefixedName {
    fn new(name: &str, previous: &str) -> PrefixedName {
        let shared_length = shared_prefix_length(name, previous);
        PrefixedName {
            shared_length: shared_length as u16,
            suffix: name[shared_length..].to_string(),
        }
    }

    fn expand(&self, previous: &str) -> String {
        let prefix = previous.get(..usize::from(self.shared_length));
        format!("{}{}", prefix.unwrap_or(""), self.suffix)
    }
}

/// Returns the length in bytes of a prefix shared by both names. It ends at a character boundary of `name` and fits
/// into a `u16`.
fn shared_prefix_length(name: &str, previous: &str) -> usize {
    let mut pairs = name.char_indices().zip(previous.chars());
    let difference = pairs.find(|((_, character), previous)| character != previous);
    let end = name.len().min(previous.len());
    let length = difference.map_or(end, |((index, _), _)| index);
    let length = length.min(usize::from(u16::MAX));
    if name.is_char_boundary(length) {
        length
    } else {
        0
    }
}

/// Machines whose leases a follower renews on behalf of the leader with this term.
///
/// One value has to hold hundreds of names, so each is stored without the prefix that it shares with the previous one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewalsRecord {
    /// Term of the leader.
    pub term: u64,
    /// Names of the machines in ascending order.
    names: Vec<PrefixedName>,
}

impl RenewalsRecord {
    /// Creates a record from machine names in ascending order.
    pub fn new<'a>(term: u64, machines: impl Iterator<Item = &'a String>) -> RenewalsRecord {
        let mut previous = "";
        let mut names = Vec::new();
        for machine in machines {
            names.push(PrefixedName::new(machine, previous));
            previous = machine;
        }
        RenewalsRecord { term, names }
    }

    /// Splits the machines into records of at most `max_bytes` each, and returns at least one record. A record of a
    /// single machine may be larger.
    pub fn split<'a>(
        term: u64,
        machines: impl Iterator<Item = &'a String>,
        max_bytes: usize,
    ) -> Vec<RenewalsRecord> {
        let machines: Vec<&String> = machines.collect();
        let mut pending = vec![machines.as_slice()];
        let mut records = Vec::new();
        while let Some(range) = pending.pop() {
            let record = RenewalsRecord::new(term, range.iter().copied());
            if range.len() < 2 || json_len(&record) <= max_bytes {
                records.push(record);
                continue;
            }
            let (first_half, second_half) = range.split_at(range.len() / 2);
            pending.push(second_half);
            pending.push(first_half);
        }
        records
    }

    /// Returns the names of the machines.
    pub fn machines(&self) -> Vec<String> {
        let mut previous = String::new();
        let mut machines = Vec::with_capacity(self.names.len());
        for name in &self.names {
            previous = name.expand(&previous);
            machines.push(previous.clone());
        }
        machines
    }

    /// Returns whether the record names no machine.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

#[cfg(test)]
mod tests;
