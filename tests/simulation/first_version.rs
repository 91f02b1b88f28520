//! Frozen records and messages of the first released version. A controller of that version is simulated by converting
//! everything that it reads and writes through these types, which drops the fields that they lack.

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

/// Key prefixes that the first version does not support, each with its replacement in listings. The replacement is
/// ignored by the current version and sorts at the same position, because the next page starts after the last key.
const UNSUPPORTED_PREFIXES: [(&str, &str); 3] = [
    ("wt/f/", "wt/f0/"),
    ("wt/b/", "wt/b0/"),
    ("wt/bundled", "wt/bundled0"),
];

fn is_supported(key: &str) -> bool {
    UNSUPPORTED_PREFIXES
        .iter()
        .all(|(prefix, _)| !key.starts_with(prefix))
}

/// Decodes and encodes a value as the first version does, which drops the fields that it does not support.
fn drop_unsupported_fields(key: &str, value: Value) -> Value {
    if !key.starts_with("wt/j/") {
        return value;
    }
    let record: FirstJobRecord =
        from_value(&value).expect("job record is readable by the first version");
    to_value(&record)
}

/// Converts an answer of the store to what the first version reads from it.
pub fn convert_store_response(path: &str, body: Vec<u8>) -> Vec<u8> {
    if path.starts_with("/watch") {
        let mut response: WatchResponse = decode(&body).expect("body is the answer to a watch");
        response.events.retain(|event| {
            let key = event.put.as_deref().or(event.deleted.as_deref());
            key.is_none_or(is_supported)
        });
        for event in &mut response.events {
            if let (Some(key), Some(value)) = (&event.put, event.value.take()) {
                event.value = Some(drop_unsupported_fields(key, value));
            }
        }
        encode(&response)
    } else if path.starts_with("/keys") {
        let mut page: ItemPage = decode(&body).expect("body is a page of a listing");
        for item in &mut page.items {
            if is_supported(&item.key) {
                item.value = drop_unsupported_fields(&item.key, item.value.clone());
            } else {
                // The first version ignores these keys. The controller that simulates it runs the current code, which
                // ignores the replacements.
                for (prefix, replacement) in UNSUPPORTED_PREFIXES {
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

/// Converts a transaction to what the first version would write; `None` if it would not send this transaction.
pub fn convert_transaction(body: Vec<u8>) -> Option<Vec<u8>> {
    let mut transaction: Transaction = decode(&body)?;
    for change in &mut transaction.changes {
        match change {
            Change::Put { key, value, .. } if is_supported(key) => {
                *value = drop_unsupported_fields(key, value.clone());
            }
            Change::Delete { key } if is_supported(key) => {}
            _ => return None,
        }
    }
    Some(encode(&transaction))
}

/// Converts a peer heartbeat to the format of the first version.
pub fn convert_peer_heartbeat(body: Vec<u8>) -> Vec<u8> {
    match postcard::from_bytes::<FirstPeerHeartbeat>(&body) {
        Ok(heartbeat) => postcard::to_stdvec(&heartbeat).expect("peer heartbeat can be encoded"),
        Err(_) => body,
    }
}

/// Converts a request to what the first version reads from it: the dependencies of a submission are dropped.
pub fn convert_request(event: NetworkEvent) -> NetworkEvent {
    match event {
        NetworkEvent::Request {
            conn,
            internal,
            method,
            path,
            body,
        } if path.ends_with("/submissions") => {
            let mut value: Value = decode(&body).expect("body is a submission");
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
