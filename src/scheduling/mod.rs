//! Scheduling passes: cluster snapshot, queue order, bin packing, preemption and quotas.

mod apply_decision;
pub mod backfill;
pub mod capacity_index;
pub mod cluster_snapshot;
pub mod findings;
pub mod guarantee;
pub mod host_table;
pub mod job_profile;
pub mod job_queue;
pub mod pass;
pub mod pending_jobs;
pub mod placement;
pub mod preemption;
pub mod priority_inheritance;
pub mod quota;
pub mod recovery;
pub mod unmet_demand;
