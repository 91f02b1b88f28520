//! The first version's records and messages, frozen, to play a controller of that version: whatever it
//! reads and writes goes through these types, so that it loses what it does not know.

use rmpv::Value;
use serde::{Deserialize, Serialize};
use walnuttrestle::protocol::codec::*;
use walnuttrestle::protocol::key_value_api::*;
use walnuttrestle::protocol::{JobKind, Micros, Priority};
use walnuttrestle::transport::NetworkEvent;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OldSpec {
    docket: String,
    crew: String,
    shape: JobKind,
    rank: Priority,
    sheets: u32,
    cpus: f64,
    cards: f64,
    memory_gb: f64,
    plate: String,
    size_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    presses: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    yard: Option<String>,
    together: bool,
    scatter: bool,
    loaners: bool,
    expected_s: f64,
    proof_s: f64,
    stash_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    due_s: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct OldEntry(u32, u64, String, u64, u64, bool);

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct OldChunk {
    #[serde(default)]
    e: Vec<OldEntry>,
    #[serde(default)]
    d: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OldJobRec {
    s: OldSpec,
    at: Micros,
    st: String,
    #[serde(default)]
    end: Micros,
    #[serde(default)]
    c: OldChunk,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OldHeartbeat {
    pub node: String,
    leading: Option<u64>,
    leader_silent_ms: Option<u64>,
    newest: Option<u64>,
    served: bool,
}

/// Beginnings of names that it does not know, and what stands for them where it lists all: names that
/// it does not know either, at the same place in the order, since a listing goes on from the last one.
const UNKNOWN: [(&str, &str); 3] = [
    ("wt/f/", "wt/f0/"),
    ("wt/b/", "wt/b0/"),
    ("wt/bundled", "wt/bundled0"),
];

fn seen(key: &str) -> bool {
    UNKNOWN.iter().all(|(k, _)| !key.starts_with(k))
}

/// A value as the first version writes it again after it has read it.
fn rewritten(key: &str, value: Value) -> Value {
    if !key.starts_with("wt/j/") {
        return value;
    }
    let old: OldJobRec = from_value(&value).expect("the first version reads it");
    to_value(&old)
}

/// What the first version makes of an answer of the state service.
pub fn reads(path: &str, body: Vec<u8>) -> Vec<u8> {
    if path.starts_with("/watch") {
        let mut a: WatchResponse = decode(&body).expect("a watch's answer");
        a.events.retain(|e| {
            let key = e.put.as_deref().or(e.deleted.as_deref());
            key.is_none_or(seen)
        });
        for e in &mut a.events {
            if let (Some(key), Some(value)) = (&e.put, e.value.take()) {
                e.value = Some(rewritten(key, value));
            }
        }
        encode(&a)
    } else if path.starts_with("/keys") {
        let mut page: ItemPage = decode(&body).expect("a listing");
        for i in &mut page.items {
            if seen(&i.key) {
                i.value = rewritten(&i.key, i.value.clone());
            } else {
                // Unknown keys pass it by.
                for (k, other) in UNKNOWN {
                    if let Some(rest) = i.key.strip_prefix(k) {
                        i.key = format!("{other}{rest}");
                        break;
                    }
                }
            }
        }
        encode(&page)
    } else {
        body
    }
}

/// What the first version writes; none: it would not write this.
pub fn writes(body: Vec<u8>) -> Option<Vec<u8>> {
    let mut txn: Transaction = decode(&body)?;
    for c in &mut txn.changes {
        match c {
            Change::Put { put, value, .. } if seen(put) => {
                *value = rewritten(put, value.clone());
            }
            Change::Delete { key } if seen(key) => {}
            _ => return None,
        }
    }
    Some(encode(&txn))
}

/// A heartbeat as the first version sends and understands it.
pub fn heartbeat(body: Vec<u8>) -> Vec<u8> {
    match postcard::from_bytes::<OldHeartbeat>(&body) {
        Ok(h) => postcard::to_stdvec(&h).expect("a heartbeat"),
        Err(_) => body,
    }
}

/// A request as the first version understands it: fields of a submission that it does not know are
/// as good as absent.
pub fn hears(event: NetworkEvent) -> NetworkEvent {
    match event {
        NetworkEvent::Request {
            conn,
            internal,
            method,
            path,
            body,
        } if path.ends_with("/submissions") => {
            let mut value: Value = decode(&body).expect("a submission");
            if let Value::Map(m) = &mut value {
                m.retain(|(k, _)| k.as_str() != Some("awaits"));
            }
            NetworkEvent::Request {
                conn,
                internal,
                method,
                path,
                body: encode(&value),
            }
        }
        other => other,
    }
}
