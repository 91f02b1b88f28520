//! Response bodies for clients.

use serde::{Deserialize, Serialize};

/// State of a job in a response to a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Job id.
    pub id: String,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: String,
    /// Number of completed tasks; absent if unknown.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u64>,
    /// Number of running tasks; absent if unknown.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u64>,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Human-readable description of the error.
    pub error: String,
}
