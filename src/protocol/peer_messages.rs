//! Heartbeats between controllers, encoded with postcard.
//!
//! A heartbeat and its response are both a [`PeerHeartbeat`]. Postcard encodes fields by position, without names.
//! Fields are therefore never reordered, and each format (see [`mod@format`]) appends its fields to the earlier ones.
//! The fields in wire order:
//!
//! | since format | fields |
//! | --- | --- |
//! | `FIRST` | `node`, `leading_term`, `leader_silent_ms`, `newest_revision`, `store_available` |
//! | `PIPELINES` | `format` |
//! | `BUDGET_SHARES` | `requested_writes`, `grant_epoch` |
//! | `LEASE_DELEGATION` | `delegation`, `record_summary` |
//! | `CANCELLATIONS` | `cancellation_cursor`, `cancellation_update` |
//!
//! A receiver that reads only an older format ignores the fields after those of its own format.

use super::format;
use super::job::is_valid_job_id;
use super::records::LeaderRecord;
use lease_delegation::cancellations::{LogBatch, LogCursor};
use serde::{Deserialize, Serialize};

/// Path prefix of client requests that a peer forwards.
pub const FORWARD_PREFIX: &str = "/user";

/// Maximum number of cancellations in one heartbeat; the rest follow in the next one.
pub const MAX_CANCELLATIONS: usize = 512;
/// Maximum number of entries in a heartbeat's list of peers.
const MAX_PEERS: usize = 64;

/// Why a peer heartbeat is rejected.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum InvalidPeerHeartbeat {
    /// The message is too short for its format, or a field is malformed.
    #[error("truncated or malformed for format {0}")]
    Malformed(u32),
    /// Number of bytes after the last field, in a format that does not allow any.
    #[error("{0} bytes after the last field")]
    TrailingBytes(usize),
    /// The format number is 0, which no version sends.
    #[error("invalid format number 0")]
    ZeroFormat,
    /// The cancellations exceed a size limit, have inverted log positions, or contain an invalid job id.
    #[error("invalid cancellations: too many entries, inverted log positions or an invalid job id")]
    InvalidCancellations,
}

/// The state of a controller, sent to each peer at regular intervals and returned in the response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Name of the sender.
    pub node: String,
    /// Term of the sender if it is the leader and has recently confirmed its leadership.
    pub leading_term: Option<u64>,
    /// Milliseconds since the sender last received a heartbeat from the leader; `None`: never.
    pub leader_silent_ms: Option<u64>,
    /// Revision of the newest cancellation or leadership change that the sender has seen. `None` until it has read
    /// the records, because an earlier incarnation may have seen a newer one.
    pub newest_revision: Option<u64>,
    /// Whether the sender has read the records and the key-value store is available to it.
    pub store_available: bool,
    /// Newest format that the sender reads. The first version does not send it, and ignores all bytes from here on.
    #[serde(skip)]
    pub format: u32,
    /// Share of the write budget that the sender requests, in thousandths of a change per second.
    #[serde(skip)]
    pub requested_writes: u64,
    /// Number of the newest grant of budget shares that the sender has seen; 0: none.
    #[serde(skip)]
    pub grant_epoch: u64,
    /// Lease delegation; `None` if the sender's format is older than `LEASE_DELEGATION`.
    #[serde(skip)]
    pub delegation: Option<LeaseDelegationStatus>,
    /// Set only in a response to a peer that has not read the records.
    #[serde(skip)]
    pub record_summary: Option<RecordSummary>,
    /// Which cancellations the sender has; in a request, also how much of the receiver's log it has received.
    #[serde(skip)]
    pub cancellation_cursor: Option<CancellationCursor>,
    /// Set only in a response: cancellations that the requesting peer does not have yet.
    #[serde(skip)]
    pub cancellation_update: Option<CancellationUpdate>,
}

/// Which cancellations a controller already has when it requests further ones from a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CancellationCursor {
    /// The sender's cache of the records is complete up to this revision.
    pub complete_revision: u64,
    /// Position in the receiver's log up to which the sender has received it.
    pub log_position: LogPosition,
}

impl CancellationCursor {
    /// Returns the number of the first entry to send from the log of this incarnation of the receiver. A position in
    /// the log of an earlier incarnation does not apply, so the number is 0 then.
    pub fn first_entry(&self, incarnation: u64) -> u64 {
        if self.log_position.incarnation == incarnation {
            self.log_position.next_entry
        } else {
            0
        }
    }
}

/// A position in the cancellation log of a controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Incarnation of the controller; each run of its process has its own log.
    pub incarnation: u64,
    /// Number of the first entry that has not been received.
    pub next_entry: u64,
}

impl From<LogCursor> for LogPosition {
    fn from(cursor: LogCursor) -> LogPosition {
        LogPosition {
            incarnation: cursor.incarnation,
            next_entry: cursor.next,
        }
    }
}

/// A batch of the sender's cancellation log, and how current the sender is with its other peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CancellationUpdate {
    /// Version of the leader record in the sender's cache; 0: none is cached.
    pub leader_version: u64,
    /// Number of the first log entry of the batch.
    pub first_entry: u64,
    /// Number of the first log entry after the batch.
    pub next_entry: u64,
    /// Whether the log has entries after the batch.
    pub has_more: bool,
    /// Cancelled jobs, each with the version of the job record that contains the cancellation.
    pub jobs: Vec<(String, u64)>,
    /// For each peer of the sender: microseconds since the sender last had everything that this peer had reported
    /// to its clients.
    pub peer_coverage_ages: Vec<(String, u64)>,
}

impl CancellationUpdate {
    /// Returns the batch of the sender's log.
    pub fn batch(&self) -> LogBatch {
        LogBatch {
            from: self.first_entry,
            next: self.next_entry,
            has_more: self.has_more,
            jobs: self.jobs.clone(),
        }
    }

    fn is_valid(&self) -> bool {
        self.jobs.len() <= MAX_CANCELLATIONS
            && self.peer_coverage_ages.len() <= MAX_PEERS
            && self.first_entry <= self.next_entry
            && self.jobs.iter().all(|(id, _)| is_valid_job_id(id))
    }
}

/// The part of the records that a controller needs to renew agent leases if it starts while the store is unavailable.
/// A peer that has read the records sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordSummary {
    /// The leader according to the records.
    pub leader: LeaderRecord,
    /// Revision up to which the sender's cache of the records is complete.
    pub revision: u64,
    /// Cancelled jobs that may still have tasks on machines.
    pub cancelled_jobs: Vec<String>,
    /// See [`CancellationUpdate::peer_coverage_ages`].
    pub peer_coverage_ages: Vec<(String, u64)>,
}

/// Lease delegation in a heartbeat, since format `LEASE_DELEGATION`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseDelegationStatus {
    /// Incarnation of the sender, which identifies a run of its process.
    pub incarnation: u64,
    /// Set only in a response of the leader: the requesting peer may renew agent leases in this term.
    pub delegated_term: Option<u64>,
    /// Microseconds since the sender last renewed a lease under a delegation; `None`: never in this incarnation.
    pub last_use_age_us: Option<u64>,
    /// The key-value store is unavailable to the sender. In a response this is also a pledge: for a limited time the
    /// sender reports nothing to its clients that the requesting peer may not have received.
    pub pledges_silence: bool,
}

/// The fields that format `BUDGET_SHARES` appends.
type BudgetFields = (u64, u64);
/// The fields that format `LEASE_DELEGATION` appends.
type DelegationFields = (LeaseDelegationStatus, Option<RecordSummary>);
/// The fields that format `CANCELLATIONS` appends.
type CancellationFields = (Option<CancellationCursor>, Option<CancellationUpdate>);

impl PeerHeartbeat {
    /// Encodes the heartbeat. The fields of `LEASE_DELEGATION` and `CANCELLATIONS` are left out if `delegation` is `None`.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding these types into memory cannot fail.
        self.try_encode().unwrap_or_default()
    }

    fn try_encode(&self) -> postcard::Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(self)?;
        let bytes = postcard::to_extend(
            &(self.format, self.requested_writes, self.grant_epoch),
            bytes,
        )?;
        let Some(delegation) = &self.delegation else {
            return Ok(bytes);
        };
        let bytes = postcard::to_extend(&(delegation, &self.record_summary), bytes)?;
        postcard::to_extend(
            &(&self.cancellation_cursor, &self.cancellation_update),
            bytes,
        )
    }

    /// Decodes a heartbeat.
    ///
    /// # Errors
    ///
    /// Any field that does not fit the format in the message makes the whole message invalid. Bytes after the last
    /// field are accepted only if the format is newer than `NEWEST`, or older than `BUDGET_SHARES`.
    pub fn decode(bytes: &[u8]) -> Result<PeerHeartbeat, InvalidPeerHeartbeat> {
        let mut reader = FieldReader {
            rest: bytes,
            format: format::FIRST,
        };
        let mut heartbeat: PeerHeartbeat = reader.take()?;
        if reader.rest.is_empty() {
            // The first version sends no format number and ends here.
            heartbeat.format = format::FIRST;
            return Ok(heartbeat);
        }
        heartbeat.format = reader.take_format()?;
        heartbeat.read_appended_fields(&mut reader)?;
        if heartbeat
            .cancellation_update
            .as_ref()
            .is_some_and(|update| !update.is_valid())
        {
            return Err(InvalidPeerHeartbeat::InvalidCancellations);
        }
        reader.finish()?;
        Ok(heartbeat)
    }

    fn read_appended_fields(
        &mut self,
        reader: &mut FieldReader<'_>,
    ) -> Result<(), InvalidPeerHeartbeat> {
        if self.format >= format::BUDGET_SHARES {
            let fields: BudgetFields = reader.take()?;
            (self.requested_writes, self.grant_epoch) = fields;
        }
        if self.format >= format::LEASE_DELEGATION {
            let (delegation, record_summary): DelegationFields = reader.take()?;
            self.delegation = Some(delegation);
            self.record_summary = record_summary;
        }
        if self.format >= format::CANCELLATIONS {
            let fields: CancellationFields = reader.take()?;
            (self.cancellation_cursor, self.cancellation_update) = fields;
        }
        Ok(())
    }
}

/// Reads the fields of a heartbeat in wire order.
struct FieldReader<'bytes> {
    rest: &'bytes [u8],
    /// Format number of the message; `FIRST` until it has been read.
    format: u32,
}

impl<'bytes> FieldReader<'bytes> {
    fn take<T: Deserialize<'bytes>>(&mut self) -> Result<T, InvalidPeerHeartbeat> {
        let (value, rest) = postcard::take_from_bytes(self.rest)
            .map_err(|_| InvalidPeerHeartbeat::Malformed(self.format))?;
        self.rest = rest;
        Ok(value)
    }

    fn take_format(&mut self) -> Result<u32, InvalidPeerHeartbeat> {
        let format: u32 = self.take()?;
        if format == 0 {
            return Err(InvalidPeerHeartbeat::ZeroFormat);
        }
        self.format = format;
        Ok(format)
    }

    /// Checks that nothing follows the last field. Formats before `BUDGET_SHARES` are exempt because their versions did
    /// not check this, and formats after `NEWEST` because they may append fields.
    fn finish(self) -> Result<(), InvalidPeerHeartbeat> {
        let is_checked = (format::BUDGET_SHARES..=format::NEWEST).contains(&self.format);
        if is_checked && !self.rest.is_empty() {
            return Err(InvalidPeerHeartbeat::TrailingBytes(self.rest.len()));
        }
        Ok(())
    }
}
