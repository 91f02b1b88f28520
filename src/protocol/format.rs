//! Format numbers of the stored records and heartbeats, by which controllers of different versions agree.
//!
//! During a rolling upgrade, controllers of both versions work on the same records. Each controller stores the
//! newest format that it reads under `records::format_key` and states it in its heartbeats. A controller without
//! such a record runs the first version. What a format adds is written only after every controller named in the
//! settings has stored that it reads this format. A later change of the records takes the next number here and
//! checks it with `Controller::all_controllers_read`.

/// Records and heartbeats of the first version, which states no format.
pub const FIRST: u32 = 1;
/// Jobs may depend on other jobs (`JobSpec::needs`). The first version would drop the field whenever it rewrites
/// the record, and would start the job too early.
pub const PIPELINES: u32 = 2;
/// One record may hold placements of many jobs (`records::PlacementBatch`). A controller that does not read it
/// would consider running tasks lost.
pub const PLACEMENT_BATCHES: u32 = 3;
/// The shares of the write budget are stored (`records::BudgetSharesRecord`), and heartbeats carry requests for
/// them. A controller that does not read them keeps its fixed share, which is never lent.
pub const BUDGET_SHARES: u32 = 4;
/// Heartbeats carry the fields of `peer_messages::LeaseDelegationStatus` (crates/lease-delegation). Records are
/// unchanged. A controller that does not read this format neither grants nor receives lease delegations.
pub const LEASE_DELEGATION: u32 = 5;
/// Heartbeats carry cancellations (crates/lease-delegation). Records are unchanged. A controller that does not read
/// this format receives no cancellations; it vouches by the revision of the newest cancellation that it knows.
pub const CANCELLATIONS: u32 = 6;
/// The newest format that this version reads.
pub const NEWEST: u32 = CANCELLATIONS;
