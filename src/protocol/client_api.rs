//! Response bodies for clients.

use serde::{Deserialize, Serialize};

/// The state of a job as clients see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Job id.
    pub id: String,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: String,
    /// Number of tasks that are done, if it is known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u64>,
    /// Number of running tasks, if it is known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u64>,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error for people.
    pub error: String,
}
