//! AdaBa: selection of the machines for a job's tasks (equation 7 and algorithm 1 of
//! "Bandwidth-Guaranteed Parallel Job Scheduling in the Cloud", as docs/design.md adapts them).
//!
//! The paper's symbols and the corresponding terms of the code:
//! - `a`: free room of a machine, in tasks of the job (`slots` of `Host::free`);
//! - `L`: room of the same machine when it is empty, in tasks of the job (`slots` of `Host::total`);
//! - `B`: demand of the job, its number of tasks times the dominant share of one task;
//! - `Bmax`: the largest demand of any job seen so far;
//! - `B/Bmax`: the demand ratio.
//!
//! The tasks of a job are identical, so machines are ranked once per job, not once per task: placing a
//! task changes the rank of one machine only.

mod gang;
mod host;
mod host_picker;
mod name_table;
mod resources;
mod zone_limits;

pub use gang::place_gang;
pub use host::{Host, PlacementConstraints, TaskRequirements, accepts_task};
pub use host_picker::{HostPicker, weight};
pub use name_table::NameTable;
pub use resources::{
    RESOURCE_TOLERANCE, Resources, add_resources, dominant_share, slots, task_resources,
};
pub(crate) use zone_limits::ZoneLimits;

#[cfg(test)]
mod tests;
