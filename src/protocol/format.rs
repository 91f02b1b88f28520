//! Formats of our records, and how controllers of different versions agree on one.
//!
//! While a new version is rolled out, controllers of both versions work on the same records. Each
//! controller records the newest format that it reads (`records::format_key`) and tells it in its
//! heartbeats; one without such a record is of the first version. Whatever a format adds is written
//! only once every controller named in the settings has recorded that it reads it. A later change of
//! the records takes the next number here, and asks `Controller::all_peers_read` for it.

/// Records and heartbeats of the first version, which names no format.
pub const FIRST: u32 = 1;
/// Jobs may need other jobs (`JobSpec::needs`). The first version would drop the field whenever it
/// writes the record, and start the job too early.
pub const PIPELINES: u32 = 2;
/// Places of many jobs may be in one record (`records::PlacementBatch`). A controller that does not read it would
/// take tasks for lost that run.
pub const BUNDLES: u32 = 3;
/// Parts of the budget of changes are on record (`records::BudgetSharesRecord`). A controller that does not read it
/// keeps to its fixed share, which is never lent.
pub const PARTS: u32 = 4;
/// Heartbeats carry runs, rights and pledges (crates/rights). Records are as before; a controller that does
/// not know these is given no rights, and gives none.
pub const RIGHTS: u32 = 5;
/// Heartbeats carry cancellations (crates/rights). Records are as before; a controller that does not know these is
/// told none, and vouches by the revision of the newest that it knows.
pub const CANCELLATIONS: u32 = 6;
/// The newest format that this version reads.
pub const NEWEST: u32 = CANCELLATIONS;
