//! Requests to the consensus-backed key-value store and its responses.
//!
//! The wire names are in the serde renames; the table in [`super`] lists them.

use super::codec::to_value;
use serde::{Deserialize, Serialize};

/// A condition of a transaction: the key must have this version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionCondition {
    /// Key to compare.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected version; 0: the key does not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// Key to write.
        #[serde(rename = "put")]
        key: String,
        /// New value.
        value: rmpv::Value,
        /// Lease to which the key is attached; `None` detaches it.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: applies all changes atomically if all conditions hold, and none otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    #[serde(rename = "if")]
    pub conditions: Vec<VersionCondition>,
    /// Changes, which are all committed at the same revision.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

/// Response to a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Revision of the store after the transaction.
    #[serde(rename = "edition", default)]
    pub revision: u64,
    /// Keys whose conditions failed; empty if the transaction was committed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A change in the response to a watch: either `put` and `value`, or `deleted`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was written.
    #[serde(default)]
    pub put: Option<String>,
    /// Value that was written.
    #[serde(default)]
    pub value: Option<rmpv::Value>,
    /// Key that was deleted.
    #[serde(rename = "drop", default)]
    pub deleted: Option<String>,
    /// Revision of the change, which is the key's new version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the response is complete.
    #[serde(rename = "edition")]
    pub revision: u64,
    /// Changes after the requested revision.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// A key with its value in a listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value of the key.
    pub value: rmpv::Value,
    /// Version of the key: the revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemPage {
    /// Keys in ascending order.
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(rename = "more")]
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "edition")]
    pub revision: u64,
}

/// Request for a lease of the key-value store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time until the lease expires unless it is renewed, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Response to a lease request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "tenure")]
    pub lease: u64,
}

impl VersionCondition {
    /// Requires `key` to have this version; 0 requires that it does not exist.
    pub fn new(key: &str, version: u64) -> VersionCondition {
        VersionCondition {
            key: key.to_string(),
            version,
        }
    }
}

impl Change {
    /// Writes a typed value, attached to `lease` if one is given.
    pub fn put<T: Serialize>(key: &str, value: &T, lease: Option<u64>) -> Change {
        Change::Put {
            key: key.to_string(),
            value: to_value(value),
            lease,
        }
    }
}
