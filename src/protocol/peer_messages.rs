//! Heartbeats between controllers, encoded with postcard.
//!
//! A heartbeat and its response are both a [`PeerHeartbeat`]. Postcard encodes fields by position and without names.
//! Fields are therefore never reordered, and each format (see [`mod@format`]) appends its fields to the earlier ones.
//! These are the fields in the order in which they are sent:
//!
//! | since format | fields |
//! | --- | --- |
//! | `FIRST` | `node`, `leading`, `leader_silent_ms`, `newest`, `served` |
//! | `PIPELINES` | `format` |
//! | `BUDGET_SHARES` | `asks`, `epoch` |
//! | `LEASE_DELEGATION` | `more`, `record_summary` |
//! | `CANCELLATIONS` | `knows`, `news` |
//!
//! A receiver that reads only an older format ignores the fields that it does not know.

use super::format;
use super::job::valid_id;
use super::records::LeaderRecord;
use lease_delegation::cancellations::{LogBatch, LogCursor};
use serde::{Deserialize, Serialize};

/// Prefix of the paths under which a controller takes client requests that a peer forwards.
pub const FORWARD_PREFIX: &str = "/user";

/// Most cancellations in one heartbeat; the others follow with the next one.
pub const MOST_CANCELLATIONS: usize = 512;
/// Most peers in one list of a heartbeat.
const MAX_PEERS: usize = 64;

/// Why a heartbeat of a peer is rejected as a whole.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum InvalidPeerHeartbeat {
    /// The message is too short for its format, or a field is malformed.
    #[error("it cannot be read as format {0}")]
    Unreadable(u32),
    /// This number of bytes follows the last field of a format that is known completely.
    #[error("{0} bytes follow its end")]
    TooLong(usize),
    /// The format number is 0, which no version sends.
    #[error("there is no format 0")]
    NoFormat,
    /// The cancellations exceed their limits, contradict themselves, or contain an invalid job id.
    #[error("its cancellations are impossible")]
    Cancellations,
}

/// The state of a controller, sent to each peer at regular intervals and returned in the response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Name of the sender.
    pub node: String,
    /// Term of the sender, if it leads and has recent proof of its leadership.
    pub leading: Option<u64>,
    /// Milliseconds since the sender last received a heartbeat of the leader that it knows; `None`: never.
    pub leader_silent_ms: Option<u64>,
    /// Revision of the newest cancellation or change of leadership that the sender knows. `None` until it has read
    /// the records, since an earlier run of its process may have known a newer one.
    pub newest: Option<u64>,
    /// Whether the sender has read the records and the key-value store is available to it.
    pub served: bool,
    /// Newest format that the sender reads. The first version neither sends it nor reads past the fields before it.
    #[serde(skip)]
    pub format: u32,
    /// Share of the write budget that the sender requests, in thousandths of changes a second.
    #[serde(skip)]
    pub asks: u64,
    /// Number of the newest grant of budget shares that the sender has seen; 0: none.
    #[serde(skip)]
    pub epoch: u64,
    /// Lease delegation; `None` if the sender's format is older than `LEASE_DELEGATION`.
    #[serde(skip)]
    pub more: Option<LeaseDelegationStatus>,
    /// Only in a response to a peer that has not read the records.
    #[serde(skip)]
    pub record_summary: Option<RecordSummary>,
    /// Which cancellations the sender knows; in a request, which part of the receiver's log it has.
    #[serde(skip)]
    pub knows: Option<CancellationCursor>,
    /// Only in a response: cancellations that the requesting peer does not know yet.
    #[serde(skip)]
    pub news: Option<CancellationUpdate>,
}

/// Which cancellations a controller knows when it asks a peer for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CancellationCursor {
    /// The sender's cache of the records is complete up to this revision.
    pub complete: u64,
    /// Position in the receiver's log up to which the sender has received it.
    pub heard: LogPosition,
}

impl CancellationCursor {
    /// Returns the number of the first entry to send from the log of this run of the receiver's process.
    pub fn from(&self, run: u64) -> u64 {
        if self.heard.run == run {
            self.heard.next
        } else {
            0
        }
    }
}

/// A position in the cancellation log of a controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Incarnation of the controller: each run of its process has its own log.
    pub run: u64,
    /// Number of the first entry that was not received.
    pub next: u64,
}

impl From<LogCursor> for LogPosition {
    fn from(cursor: LogCursor) -> LogPosition {
        LogPosition {
            run: cursor.incarnation,
            next: cursor.next,
        }
    }
}

/// A batch of the sender's cancellation log, and what the sender knows of its other peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CancellationUpdate {
    /// Version of the leader's record in the sender's cache; 0: it knows none.
    pub lead: u64,
    /// Number of the first log entry of the batch.
    pub from: u64,
    /// Number of the first log entry after the batch.
    pub next: u64,
    /// Whether the log has entries after the batch.
    pub more: bool,
    /// Cancelled jobs, each with the version of the record that shows the cancellation.
    pub jobs: Vec<(String, u64)>,
    /// Per peer of the sender: age in microseconds of the moment at which the sender last knew everything that this
    /// peer had told its clients.
    pub known: Vec<(String, u64)>,
}

impl CancellationUpdate {
    /// Returns the batch of the sender's log.
    pub fn batch(&self) -> LogBatch {
        LogBatch {
            from: self.from,
            next: self.next,
            has_more: self.more,
            jobs: self.jobs.clone(),
        }
    }

    fn is_valid(&self) -> bool {
        self.jobs.len() <= MOST_CANCELLATIONS
            && self.known.len() <= MAX_PEERS
            && self.from <= self.next
            && self.jobs.iter().all(|(id, _)| valid_id(id))
    }
}

/// What a controller that starts while the store is unavailable has to know of the records to keep agents alive.
/// It gets this from a peer that has read them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordSummary {
    /// The leader on record.
    pub lead: LeaderRecord,
    /// Revision up to which the sender's cache of the records is complete.
    pub revision: u64,
    /// Cancelled jobs that may still have tasks on machines.
    pub cancelled: Vec<String>,
    /// See [`CancellationUpdate::known`].
    pub known: Vec<(String, u64)>,
}

/// Lease delegation in a heartbeat, since format `LEASE_DELEGATION`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseDelegationStatus {
    /// Incarnation of the sender: which run of its process this is.
    pub run: u64,
    /// Only in a response: the requesting peer may renew agents' leases under this term of the sender.
    pub right: Option<u64>,
    /// Microseconds since the sender last renewed a lease by such a delegation; `None`: never in this run.
    pub used_ago: Option<u64>,
    /// The key-value store is not available to the sender. In a response this is also a pledge: for a while the
    /// sender tells its clients nothing that the requesting peer may not know.
    pub quiet: bool,
}

/// The fields that format `BUDGET_SHARES` appends.
type BudgetFields = (u64, u64);
/// The fields that format `LEASE_DELEGATION` appends.
type DelegationFields = (LeaseDelegationStatus, Option<RecordSummary>);
/// The fields that format `CANCELLATIONS` appends.
type CancellationFields = (Option<CancellationCursor>, Option<CancellationUpdate>);

impl PeerHeartbeat {
    /// Encodes the heartbeat. The fields of `LEASE_DELEGATION` and `CANCELLATIONS` are left out if `more` is `None`.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into memory does not fail for these types.
        self.try_encode().unwrap_or_default()
    }

    fn try_encode(&self) -> postcard::Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(self)?;
        let bytes = postcard::to_extend(&(self.format, self.asks, self.epoch), bytes)?;
        let Some(more) = &self.more else {
            return Ok(bytes);
        };
        let bytes = postcard::to_extend(&(more, &self.record_summary), bytes)?;
        postcard::to_extend(&(&self.knows, &self.news), bytes)
    }

    /// Decodes a heartbeat.
    ///
    /// # Errors
    ///
    /// Any field that does not fit the stated format makes the whole message invalid. Bytes after the known fields
    /// are accepted only if the stated format is newer than ours, or so old that it says nothing of them.
    pub fn decode(bytes: &[u8]) -> Result<PeerHeartbeat, InvalidPeerHeartbeat> {
        let mut reader = FieldReader {
            rest: bytes,
            format: format::FIRST,
        };
        let mut heartbeat: PeerHeartbeat = reader.take()?;
        if reader.rest.is_empty() {
            // The first version ends here and states no format.
            heartbeat.format = format::FIRST;
            return Ok(heartbeat);
        }
        heartbeat.format = reader.take_format()?;
        heartbeat.read_appended_fields(&mut reader)?;
        if heartbeat.news.as_ref().is_some_and(|news| !news.is_valid()) {
            return Err(InvalidPeerHeartbeat::Cancellations);
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
            (self.asks, self.epoch) = fields;
        }
        if self.format >= format::LEASE_DELEGATION {
            let (more, record_summary): DelegationFields = reader.take()?;
            self.more = Some(more);
            self.record_summary = record_summary;
        }
        if self.format >= format::CANCELLATIONS {
            let fields: CancellationFields = reader.take()?;
            (self.knows, self.news) = fields;
        }
        Ok(())
    }
}

/// Reads the fields of a heartbeat one after the other.
struct FieldReader<'bytes> {
    rest: &'bytes [u8],
    /// The format that the message states; `FIRST` until it was read.
    format: u32,
}

impl<'bytes> FieldReader<'bytes> {
    fn take<T: Deserialize<'bytes>>(&mut self) -> Result<T, InvalidPeerHeartbeat> {
        let (value, rest) = postcard::take_from_bytes(self.rest)
            .map_err(|_| InvalidPeerHeartbeat::Unreadable(self.format))?;
        self.rest = rest;
        Ok(value)
    }

    fn take_format(&mut self) -> Result<u32, InvalidPeerHeartbeat> {
        let stated: u32 = self.take()?;
        if stated == 0 {
            return Err(InvalidPeerHeartbeat::NoFormat);
        }
        self.format = stated;
        Ok(stated)
    }

    /// Checks that nothing follows the last field. Versions before format `BUDGET_SHARES` did not check it, and a newer
    /// format than ours may append fields.
    fn finish(self) -> Result<(), InvalidPeerHeartbeat> {
        let is_checked = (format::BUDGET_SHARES..=format::NEWEST).contains(&self.format);
        if is_checked && !self.rest.is_empty() {
            return Err(InvalidPeerHeartbeat::TooLong(self.rest.len()));
        }
        Ok(())
    }
}
