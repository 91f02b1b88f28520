//! Messages between components of a controller: the purpose of each store request, the pending calls to other machines,
//! and the work that waits for a read barrier.

use crate::protocol::agent_api::AgentHeartbeat;
use crate::protocol::cloud_api::RentRequest;
use crate::protocol::{JobSpec, Micros};
use crate::state::agent::AttemptKey;
use std::fmt;

/// Identifies a transaction of job records, across all leaderships of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteId {
    /// Version of the leader record on which the transaction is conditional.
    pub leader_version: u64,
    /// Number of the transaction in its leadership.
    pub number: u64,
}

impl fmt::Display for WriteId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.leader_version, self.number)
    }
}

/// Why a request to the store was made.
#[derive(Debug, Clone)]
pub enum StoreRequestPurpose {
    /// To list all records, one page at a time.
    ListRecords,
    /// To follow the changes of all records.
    Watch,
    /// To bring the cache up to date before work that waits for it.
    ReadBarrier,
    /// To accept the jobs with these ids.
    AcceptJobs(Vec<String>),
    /// To cancel the job with this id.
    CancelJob(String),
    /// To get the lease that a claim of leadership needs.
    LeaderLease,
    /// To claim leadership.
    ClaimLeadership,
    /// To renew the leader's lease.
    RenewLeaderLease,
    /// To get a new lease for the key of the leader, in place of its present one.
    ReplacementLease,
    /// To attach the leader's key to that lease.
    AttachReplacementLease,
    /// To raise the leader's own term.
    RaiseTerm,
    /// To write job records.
    WriteJobs(WriteId),
    /// A write that nothing waits for: machine types, the initial number of machines, deletions of placement batches.
    BackgroundWrite,
    /// To record the controllers' shares of the write budget.
    BudgetShares,
    /// To transfer leadership to another controller.
    TransferLeadership,
    /// To record that we renew the leases of these machines on the leader's behalf.
    RecordRenewals(Vec<String>),
    /// To record the newest format that we read, or that a peer can no longer read the format in its record.
    RecordFormat,
}

/// A call, to anything but the store, whose response is pending.
#[derive(Debug, Clone)]
pub enum PendingCall {
    /// Commands to an agent.
    AgentCommands {
        /// The agent's machine.
        machine: String,
        /// The attempts that the commands start.
        starts: Vec<AttemptKey>,
        /// The term that the commands carry.
        term: u64,
        /// The agent epoch for which the commands are meant.
        agent_epoch: u64,
    },
    /// A call to the cloud.
    Cloud(CloudRequest),
    /// A heartbeat to a peer.
    PeerHeartbeat {
        /// The peer's index in the settings.
        peer: usize,
        /// When it was sent.
        sent_at: Micros,
    },
    /// A client's request, forwarded to a peer that can reach the store.
    ForwardedRequest {
        /// The client's connection.
        conn: u64,
    },
    /// An agent's heartbeat, relayed to the leader.
    RelayedHeartbeat {
        /// The agent's connection.
        conn: u64,
        /// The heartbeat.
        heartbeat: Box<AgentHeartbeat>,
    },
}

/// A call to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// Reads the machine types.
    ListMachineTypes,
    /// Reads a page of the list of machines.
    ListMachines,
    /// Rents machines.
    RentMachines(RentRequest),
    /// Deletes the machines with these names.
    DeleteMachines(Vec<String>),
}

/// Work that waits for a read barrier. It continues once the cache contains all writes that preceded the work.
#[derive(Debug, Clone)]
pub enum PendingRequest {
    /// A client asks for the status of a job.
    Status {
        /// The client's connection.
        conn: u64,
        /// The job's id.
        id: String,
    },
    /// A client submits a job that exists already.
    Resubmit {
        /// The client's connection.
        conn: u64,
        /// The job's id.
        id: String,
        /// HTTP status of the response that reports the job's state. It is never 404: the job is known to exist.
        status: u16,
    },
    /// A client submits a job that depends on a job missing from the cache.
    Submit {
        /// The client's connection.
        conn: u64,
        /// The job's id.
        id: String,
        /// The submitted specification.
        spec: Box<JobSpec>,
    },
    /// A client cancels a job.
    Cancel {
        /// The client's connection.
        conn: u64,
        /// The job's id.
        id: String,
    },
    /// The leader checks that its term still holds.
    ConfirmLeadership,
    /// A write of the renewals record failed or got no response, so its outcome has to be determined.
    SettleRenewalsWrite,
    /// A write of job records failed or got no response, so its outcome has to be determined.
    SettleJobWrite(WriteId),
}
