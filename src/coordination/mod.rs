//! Leadership, the queue, placement, tasks and the fleet.

pub mod backlog;
pub mod barriers;
pub mod budget;
pub mod bundling;
pub mod edits;
pub mod far;
pub mod fleet;
pub mod formats;
pub mod front;
pub mod lead;
pub mod leader;
pub mod node;
pub mod pass;
pub mod pipeline;
pub mod placement;
pub mod policy;
pub mod queue;
pub mod reach;
pub mod recovery;
pub mod renewal;
pub mod replies;
pub mod rooms;
pub mod siblings;
pub mod survey;
pub mod tasks;
pub mod turns;
