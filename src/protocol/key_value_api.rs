//! Requests to the consensus-backed key-value store and its answers.

use super::codec::to_value;
use serde::{Deserialize, Serialize};

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionCondition {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its version, 0: does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Put a value.
    Put {
        /// Key.
        put: String,
        /// Value.
        value: rmpv::Value,
        /// Lease the key hangs on.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// Key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    #[serde(rename = "if")]
    pub conds: Vec<VersionCondition>,
    /// Changes.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision.
    #[serde(rename = "edition", default)]
    pub revision: u64,
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A change in a watch's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was put.
    #[serde(default)]
    pub put: Option<String>,
    /// Its value.
    #[serde(default)]
    pub value: Option<rmpv::Value>,
    /// Key that was deleted.
    #[serde(rename = "drop", default)]
    pub deleted: Option<String>,
    /// Revision.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Answer of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the answer is complete.
    #[serde(rename = "edition")]
    pub revision: u64,
    /// Changes.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// A key in a listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value.
    pub value: rmpv::Value,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemPage {
    /// Keys in order.
    pub items: Vec<Item>,
    /// There is more.
    pub more: bool,
    /// Revision.
    #[serde(rename = "edition")]
    pub revision: u64,
}

/// Request for a lease of the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long it lives unrenewed.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A lease of the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Its number.
    #[serde(rename = "tenure")]
    pub lease: u64,
}

impl VersionCondition {
    /// Holds while the key has this version; 0 stands for a key that does not exist.
    pub fn new(key: &str, version: u64) -> VersionCondition {
        VersionCondition {
            key: key.to_string(),
            version,
        }
    }
}

impl Change {
    /// Writes a value, on a lease if one is given.
    pub fn put<T: Serialize>(key: &str, value: &T, lease: Option<u64>) -> Change {
        Change::Put {
            put: key.to_string(),
            value: to_value(value),
            lease,
        }
    }
}
