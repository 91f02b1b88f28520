//! Answers to clients.

use serde::{Deserialize, Serialize};

/// A job's state for users.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Job id.
    pub id: String,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: String,
    /// Tasks done.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u64>,
    /// Tasks running.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u64>,
}

/// An error for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// What is wrong.
    pub error: String,
}
