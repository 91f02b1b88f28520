//! Wire types, validation and the settings file. The wire's own words stay in here.

pub mod format;
pub mod job;
pub mod peer_messages;
pub mod records;
pub mod settings;
pub mod time;
pub mod wire;

pub use job::{JobKind, JobSpec, Priority};
pub use settings::Settings;
pub use time::Micros;
