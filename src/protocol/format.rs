//! Format numbers of stored records and heartbeats, with which controllers of different versions stay compatible.
//!
//! During a rolling upgrade, controllers of two versions share the same records. Each controller stores the
//! newest format that it reads under `records::format_key` and sends it in its heartbeats. A controller without
//! such a record runs the first version. Additions of a format are written only after every controller named in the
//! settings has stored a format at least as new. Any further change of the records needs a new number here and a
//! check with `Controller::all_controllers_read`.

/// Records and heartbeats of the first version, which sends no format number.
pub const FIRST: u32 = 1;
/// Jobs may depend on other jobs (`JobSpec::dependencies`). The first version would drop the field when rewriting
/// the record, and would start the job too early.
pub const PIPELINES: u32 = 2;
/// One record may hold placements of many jobs (`records::PlacementBatch`). A controller that does not read this
/// record would treat running tasks as lost.
pub const PLACEMENT_BATCHES: u32 = 3;
/// The shares of the write budget are stored (`records::BudgetSharesRecord`), and heartbeats carry requests for
/// them. A controller that does not read this format keeps its fixed share, which is never lent to others.
pub const BUDGET_SHARES: u32 = 4;
/// Heartbeats carry the fields of `peer_messages::LeaseDelegationStatus` (crates/lease-delegation). Records are
/// unchanged. A controller that does not read this format neither grants nor receives lease delegations.
pub const LEASE_DELEGATION: u32 = 5;
/// Heartbeats carry cancellations (crates/lease-delegation). Records are unchanged. A controller that does not read
/// this format receives no cancellations. Peers compare the revision of the newest cancellation that it reports instead.
pub const CANCELLATIONS: u32 = 6;
/// The newest format that this version reads.
pub const NEWEST: u32 = CANCELLATIONS;
