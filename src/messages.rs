//! What components hand to one another through the controller: why a request to the key-value store was made, which
//! calls to other machines are pending, and which client requests wait for a read barrier.

use crate::protocol::agent_api::AgentHeartbeat;
use crate::protocol::cloud_api::RentRequest;
use crate::protocol::{JobSpec, Micros};

/// Why the store was asked.
#[derive(Debug, Clone)]
pub enum StoreRequestPurpose {
    /// A page of a reading of all records.
    ListRecords,
    /// The standing watch.
    Watch,
    /// Catching up.
    ReadBarrier,
    /// Acceptance of these jobs.
    AcceptJobs(Vec<String>),
    /// Cancellation of a job.
    CancelJob(String),
    /// A lease to lead with.
    LeaderLease,
    /// Taking the lead.
    ClaimLeadership,
    /// Renewal of the leader's lease.
    RenewLeaderLease,
    /// Hanging the leader's key on a new lease: getting the lease.
    ReplacementLease,
    /// Hanging the leader's key on a new lease.
    AttachReplacementLease,
    /// A new term for the leader itself.
    RaiseTerm,
    /// The leader's job records.
    WriteJobs(u64),
    /// A write that nothing waits for: machine types, the initial number of machines, deletions of placement batches.
    BackgroundWrite,
    /// Parts of the budget of changes.
    BudgetShares,
    /// Giving the lead away.
    TransferLeadership,
    /// What we renew on the leader's behalf: these machines.
    RecordRenewals(Vec<String>),
    /// The newest format that we read, or that a peer no longer reads what it did.
    RecordFormat,
}

/// Calls to others than the store.
#[derive(Debug, Clone)]
pub enum PendingCall {
    /// Commands to an agent.
    AgentCommands {
        /// Machine.
        machine: String,
        /// Starts among them.
        starts: Vec<(String, u32, u64)>,
        /// Term they were sent with.
        term: u64,
        /// Session they were meant for.
        agent_epoch: u64,
    },
    /// The cloud.
    Cloud(CloudRequest),
    /// A heartbeat: to which peer, and when.
    PeerHeartbeat(usize, Micros),
    /// A user's request handed on to a peer that the state service serves.
    ForwardedRequest(u64),
    /// An agent's report handed on to the leader.
    RelayedHeartbeat(u64, Box<AgentHeartbeat>),
}

/// A call to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// Machine types.
    Types,
    /// A page of the list.
    List,
    /// A rental.
    RentInstances(RentRequest),
    /// Deletion of these machines.
    Delete(Vec<String>),
}

/// What waits for the copy to catch up.
#[derive(Debug, Clone)]
pub enum PendingRequest {
    /// A poll.
    Status {
        /// Request.
        conn: u64,
        /// Job.
        id: String,
    },
    /// A repeated submission of a known job.
    Resubmit {
        /// Request.
        conn: u64,
        /// Job.
        id: String,
        /// The acceptance had failed on the job's key: it must exist, so 404 is no answer.
        status: u16,
    },
    /// A submission that names a job which the copy does not hold.
    Submit {
        /// Request.
        conn: u64,
        /// Job.
        id: String,
        /// What was submitted.
        spec: Box<JobSpec>,
    },
    /// A cancellation.
    Cancel {
        /// Request.
        conn: u64,
        /// Job.
        id: String,
    },
    /// The leader's proof that its term holds.
    ConfirmLeadership,
    /// Job records whose transaction failed or got no answer.
    SettleJobWrites(u64),
}
