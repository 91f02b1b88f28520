//! The machines whose leases followers renew on behalf of the leader, as derived from the followers' records.

use crate::state::record_cache::RecordCache;
use std::collections::BTreeSet;

/// What the machines were derived from. A record counts only under the term that it names, so the machines have to be
/// derived again after a change of the leader's term as well as after a change of the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Source {
    term: u64,
    renewals_generation: u64,
}

/// Machines that followers' records name under the leader's term.
#[derive(Debug, Default)]
pub struct RenewedMachines {
    /// `None` before the first update.
    source: Option<Source>,
    machines: BTreeSet<String>,
}

impl RenewedMachines {
    /// Derives the machines from the cached records if the term or the records have changed since the last update;
    /// returns whether other machines are named now.
    pub fn update(&mut self, term: u64, cache: &RecordCache) -> bool {
        let source = Source {
            term,
            renewals_generation: cache.renewals_generation,
        };
        if self.source == Some(source) {
            return false;
        }
        self.source = Some(source);
        let records = cache.renewals.values().map(|(record, _)| record);
        let machines: BTreeSet<String> = records
            .filter(|record| record.term == term)
            .flat_map(|record| record.machines())
            .collect();
        let changed = machines != self.machines;
        self.machines = machines;
        changed
    }

    /// Whether a follower renews the lease of this machine.
    pub fn contains(&self, machine: &str) -> bool {
        self.machines.contains(machine)
    }

    /// Number of machines.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether followers renew no lease.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }
}
