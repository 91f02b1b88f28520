//! Wire types, validation and the settings file. The wire's own words stay in here.

pub mod agent_api;
pub mod client_api;
pub mod cloud_api;
pub mod codec;
pub mod format;
pub mod job;
pub mod key_value_api;
pub mod peer_messages;
pub mod records;
pub mod settings;
pub mod time;

pub use job::{JobKind, JobSpec, Priority};
pub use settings::Settings;
pub use time::{Clock, Micros};
