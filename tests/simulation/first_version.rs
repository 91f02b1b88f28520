//! Frozen records and messages of the first released version, to simulate a controller of that version: all that it
//! reads and writes is converted through these types and loses the fields that it does not know.

use rmpv::Value;
use serde::{Deserialize, Serialize};
use walnuttrestle::protocol::codec::*;
use walnuttrestle::protocol::key_value_api::*;
use walnuttrestle::protocol::{JobKind, Micros, Priority};
use walnuttrestle::transport::NetworkEvent;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FirstJobSpec {
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
struct FirstTaskEntry(u32, u64, String, u64, u64, bool);

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct FirstTaskChunk {
    #[serde(default)]
    e: Vec<FirstTaskEntry>,
    #[serde(default)]
    d: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FirstJobRecord {
    s: FirstJobSpec,
    at: Micros,
    st: String,
    #[serde(default)]
    end: Micros,
    #[serde(default)]
    c: FirstTaskChunk,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FirstPeerHeartbeat {
    pub node: String,
    leading: Option<u64>,
    leader_silent_ms: Option<u64>,
    newest: Option<u64>,
    served: bool,
}

/// Key prefixes that the first version does not know, each with its replacement in listings: another unknown prefix at
/// the same place in the order, since the next page starts after the last key.
const UNKNOWN_PREFIXES: [(&str, &str); 3] = [
    ("wt/f/", "wt/f0/"),
    ("wt/b/", "wt/b0/"),
    ("wt/bundled", "wt/bundled0"),
];

fn is_known(key: &str) -> bool {
    UNKNOWN_PREFIXES
        .iter()
        .all(|(prefix, _)| !key.starts_with(prefix))
}

/// A value as the first version writes it back after it has read it.
fn rewritten(key: &str, value: Value) -> Value {
    if !key.starts_with("wt/j/") {
        return value;
    }
    let record: FirstJobRecord = from_value(&value).expect("the first version reads it");
    to_value(&record)
}

/// An answer of the store as the first version understands it.
pub fn reads(path: &str, body: Vec<u8>) -> Vec<u8> {
    if path.starts_with("/watch") {
        let mut response: WatchResponse = decode(&body).expect("a watch's answer");
        response.events.retain(|event| {
            let key = event.put.as_deref().or(event.deleted.as_deref());
            key.is_none_or(is_known)
        });
        for event in &mut response.events {
            if let (Some(key), Some(value)) = (&event.put, event.value.take()) {
                event.value = Some(rewritten(key, value));
            }
        }
        encode(&response)
    } else if path.starts_with("/keys") {
        let mut page: ItemPage = decode(&body).expect("a listing");
        for item in &mut page.items {
            if is_known(&item.key) {
                item.value = rewritten(&item.key, item.value.clone());
            } else {
                // Keys that it does not know are ignored.
                for (prefix, replacement) in UNKNOWN_PREFIXES {
                    if let Some(rest) = item.key.strip_prefix(prefix) {
                        item.key = format!("{replacement}{rest}");
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

/// A transaction as the first version writes it; `None`: it would not write this.
pub fn writes(body: Vec<u8>) -> Option<Vec<u8>> {
    let mut transaction: Transaction = decode(&body)?;
    for change in &mut transaction.changes {
        match change {
            Change::Put { key, value, .. } if is_known(key) => {
                *value = rewritten(key, value.clone());
            }
            Change::Delete { key } if is_known(key) => {}
            _ => return None,
        }
    }
    Some(encode(&transaction))
}

/// A peer heartbeat as the first version sends and understands it.
pub fn heartbeat(body: Vec<u8>) -> Vec<u8> {
    match postcard::from_bytes::<FirstPeerHeartbeat>(&body) {
        Ok(heartbeat) => postcard::to_stdvec(&heartbeat).expect("a heartbeat"),
        Err(_) => body,
    }
}

/// A request as the first version understands it: it ignores the fields of a submission that it does not know.
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
            if let Value::Map(fields) = &mut value {
                fields.retain(|(name, _)| name.as_str() != Some("awaits"));
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
