//! Leadership, the queue, placement, tasks and the fleet.

pub mod bundling;
pub mod edits;
pub mod fleet;
pub mod front;
pub mod leader;
pub mod node;
pub mod pass;
pub mod pipeline;
pub mod placement;
pub mod policy;
pub mod queue;
pub mod recovery;
pub mod renewal;
pub mod tasks;
