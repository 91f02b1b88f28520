//! What controllers tell one another (postcard).

use super::format;
use super::job::valid_id;
use lease_delegation::cancellations::LogBatch;
use serde::{Deserialize, Serialize};

/// Path under which peers take users' requests from one another.
pub const FORWARD_PREFIX: &str = "/user";

/// Cancellations in one heartbeat at most; the rest follows with the next.
pub const MOST_CANCELLATIONS: usize = 512;
/// Peers of which a heartbeat may tell.
const MOST_SIBLINGS: usize = 64;

/// Why a message of a peer is not believed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum InvalidPeerHeartbeat {
    /// It is shorter than its format has it, or not of it.
    #[error("it cannot be read as format {0}")]
    Unreadable(u32),
    /// There is more of it than its format has.
    #[error("{0} bytes follow its end")]
    TooLong(usize),
    /// No version says that.
    #[error("there is no format 0")]
    NoFormat,
    /// Its cancellations are too many, or none could be of these jobs.
    #[error("its cancellations are impossible")]
    Cancellations,
}

/// Sent to every peer at a steady pace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Sender.
    pub node: String,
    /// Term the sender leads with, if it leads and has proof of it.
    pub leading: Option<u64>,
    /// Milliseconds since the sender last heard the leader it knows of; none: never.
    pub leader_silent_ms: Option<u64>,
    /// Revision of the newest cancellation or change of the lead that the sender knows of; none
    /// before it has read the records, since its earlier run may have known of a newer one.
    pub newest: Option<u64>,
    /// The sender has read the records, and the state service serves it.
    pub served: bool,
    /// Newest format of records that the sender reads. It follows the rest of the message: the first
    /// version neither sends it nor looks at what comes after the fields it knows.
    #[serde(skip)]
    pub format: u32,
    /// What the sender asks for of the budget of changes, in thousandths of changes a second; after the
    /// format, as format `PARTS` has it.
    #[serde(skip)]
    pub asks: u64,
    /// Number of the newest grant of parts that it has seen; 0: none.
    #[serde(skip)]
    pub epoch: u64,
    /// What came with format `RIGHTS`; a sender of an older format tells none of it.
    #[serde(skip)]
    pub more: Option<HeartbeatExtension>,
    /// In an answer to a peer that has not read the records; behind all else.
    #[serde(skip)]
    pub record_summary: Option<RecordSummary>,
    /// How far the sender knows the log of whoever it asks; since format `CANCELLATIONS`, behind the gist.
    #[serde(skip)]
    pub knows: Option<CancellationCursor>,
    /// In an answer: what whoever asked does not know yet.
    #[serde(skip)]
    pub news: Option<CancellationNews>,
}

/// What of the cancellations a controller knows that asks a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CancellationCursor {
    /// Its copy of the records is complete up to this revision.
    pub complete: u64,
    /// The run of the peer whose log it has heard of, and the number of the first entry that it has not.
    pub heard: (u64, u64),
}

impl CancellationCursor {
    /// Where the log of this run goes on for the sender.
    pub fn from(&self, run: u64) -> u64 {
        if self.heard.0 == run { self.heard.1 } else { 0 }
    }
}

/// What a controller tells a peer of cancellations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CancellationNews {
    /// Version of the record of the lead in the sender's copy.
    pub lead: u64,
    /// Begin and end of the batch of the sender's log that this is, and whether there is more.
    pub from: u64,
    /// See `from`.
    pub next: u64,
    /// See `from`.
    pub more: bool,
    /// Jobs with the versions of the records that show them cancelled.
    pub jobs: Vec<(String, u64)>,
    /// For each of its peers, how long ago the sender last knew of everything that it had told users, in
    /// microseconds.
    pub known: Vec<(String, u64)>,
}

impl CancellationNews {
    /// The batch of a log in it.
    pub fn batch(&self) -> LogBatch {
        LogBatch {
            from: self.from,
            next: self.next,
            more: self.more,
            jobs: self.jobs.clone(),
        }
    }

    fn possible(&self) -> bool {
        self.jobs.len() <= MOST_CANCELLATIONS
            && self.known.len() <= MOST_SIBLINGS
            && self.from <= self.next
            && self.jobs.iter().all(|(id, _)| valid_id(id))
    }
}

/// What a controller that starts in an outage has to know of the records to keep agents alive, from a peer
/// that has read them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordSummary {
    /// Who leads, in which run, with which term.
    pub lead: (String, u64, u64),
    /// Up to which revision the sender's copy is complete.
    pub revision: u64,
    /// Cancelled jobs that may still have tasks somewhere.
    pub cancelled: Vec<String>,
    /// For each of its peers, how long ago the sender last knew of everything that it had told users, in
    /// microseconds.
    pub known: Vec<(String, u64)>,
}

/// What heartbeats tell since format `RIGHTS`, behind what older formats know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatExtension {
    /// Names this run of the sender's process.
    pub run: u64,
    /// In an answer: whoever asked may renew leases under this term of the sender's.
    pub right: Option<u64>,
    /// How long ago the sender last renewed a lease by a right, in microseconds; none: never in this run.
    pub used_ago: Option<u64>,
    /// The state service does not serve the sender. In an answer: a pledge to whoever asked.
    pub quiet: bool,
}

impl PeerHeartbeat {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        let known = postcard::to_stdvec(self).unwrap_or_default();
        let known = postcard::to_extend(&(self.format, self.asks, self.epoch), known);
        match &self.more {
            Some(more) => {
                let known =
                    known.and_then(|k| postcard::to_extend(&(more, &self.record_summary), k));
                known.and_then(|k| postcard::to_extend(&(&self.knows, &self.news), k))
            }
            None => known,
        }
        .unwrap_or_default()
    }

    /// From bytes. What a newer format may have behind what we know is passed over; whatever else is not as its
    /// format has it makes the whole message worth nothing.
    pub fn decode(b: &[u8]) -> Result<PeerHeartbeat, InvalidPeerHeartbeat> {
        let (mut beat, rest) = take::<PeerHeartbeat>(b, format::FIRST)?;
        if rest.is_empty() {
            // The first version ends here, and names no format.
            beat.format = format::FIRST;
            return Ok(beat);
        }
        let (told, mut rest) = take::<u32>(rest, format::FIRST)?;
        if told == 0 {
            return Err(InvalidPeerHeartbeat::NoFormat);
        }
        beat.format = told;
        if told >= format::PARTS {
            let (parts, after) = take(rest, told)?;
            ((beat.asks, beat.epoch), rest) = (parts, after);
        }
        if told >= format::RIGHTS {
            let (more, after) = take::<(HeartbeatExtension, Option<RecordSummary>)>(rest, told)?;
            ((beat.more, beat.record_summary), rest) = ((Some(more.0), more.1), after);
        }
        if told >= format::CANCELLATIONS {
            let (of, after) = take(rest, told)?;
            ((beat.knows, beat.news), rest) = (of, after);
        }
        if beat.news.as_ref().is_some_and(|n| !n.possible()) {
            return Err(InvalidPeerHeartbeat::Cancellations);
        }
        match rest.len() {
            // Before format `PARTS` whatever followed was not looked at.
            n if n > 0 && (format::PARTS..=format::NEWEST).contains(&told) => {
                Err(InvalidPeerHeartbeat::TooLong(n))
            }
            _ => Ok(beat),
        }
    }
}

fn take<'b, T: Deserialize<'b>>(
    b: &'b [u8],
    told: u32,
) -> Result<(T, &'b [u8]), InvalidPeerHeartbeat> {
    postcard::take_from_bytes(b).map_err(|_| InvalidPeerHeartbeat::Unreadable(told))
}
