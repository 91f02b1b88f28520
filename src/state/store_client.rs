//! Paced access to the state service. Owns the request and write budgets; urgent requests go
//! first. Retrying is the callers' business: only they know what a lost answer means.

use crate::protocol::codec::{decode, encode};
use crate::protocol::key_value_api::{
    Change, ItemPage, LeaseRequest, LeaseResponse, Transaction, TransactionResponse, WatchResponse,
};
use crate::protocol::{Micros, records};
use crate::state::token_bucket::TokenBucket;
use crate::transport::{Call, NetworkCommand, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A request to the state service.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// A transaction.
    Transaction(Transaction),
    /// Changes after a revision.
    Watch {
        /// Revision.
        after: u64,
        /// How long to wait for one.
        block_ms: u64,
    },
    /// A page of all our keys.
    List {
        /// Last key of the page before.
        after: String,
    },
    /// A new lease.
    NewLease(Micros),
    /// Renews a lease.
    Renew(u64),
}

/// What came of it.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    /// The transaction was carried out at this revision.
    Committed(u64),
    /// Conditions on these keys failed.
    Conflict(Vec<String>),
    /// Changes.
    Events(WatchResponse),
    /// The revision is too old to watch from.
    TooOld,
    /// A page of keys.
    Page(ItemPage),
    /// A lease.
    Lease(u64),
    /// The lease has ended.
    LeaseGone,
    /// Certainly not carried out.
    Refused,
    /// The same, because too much was asked for at once: a moment later it may be carried out.
    TooFast,
    /// The same, and not for the moment: the state service takes no such transaction, perhaps because
    /// its limits are lower than we think.
    Rejected,
    /// No (sensible) answer: may have been, or still be, carried out.
    Lost,
}

/// How urgent a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leadership, cancellations, read barriers.
    Urgent = 0,
    /// Acceptance and placements.
    Normal = 1,
    /// The rest.
    Background = 2,
}

struct Queued<T> {
    ask: StoreRequest,
    tag: T,
}

/// What a process may ask for at once when it starts. Its earlier run may have used up what was saved up a moment
/// ago: in a storm of restarts each run would spend it anew, and others would be refused.
const START_REQUESTS: f64 = 4.0;
const START_WRITES: f64 = 1.0;
/// How long a request to the state service may take.
const STORE_TIMEOUT: Micros = Micros::millis(1500);

/// The store actor; `T` names requests to their owners.
pub struct StoreClient<T> {
    addr: SocketAddr,
    requests: TokenBucket,
    writes: TokenBucket,
    queues: [VecDeque<Queued<T>>; 3],
    flying: BTreeMap<u64, (T, StoreRequest, Micros)>,
    /// Weight of the failures in a row: no answer counts 1, a refusal to serve counts 2.
    failing: u32,
}

impl<T> StoreClient<T> {
    /// For the state service at `addr`.
    pub fn new(addr: SocketAddr, rps: f64, wps: f64, write_burst: f64) -> StoreClient<T> {
        StoreClient {
            addr,
            requests: TokenBucket::new(rps, rps * 0.5).with_initial_tokens(START_REQUESTS),
            writes: TokenBucket::new(wps, write_burst).with_initial_tokens(START_WRITES),
            queues: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            flying: BTreeMap::new(),
            failing: 0,
        }
    }

    /// Changes our share of the budgets.
    pub fn set_rates(&mut self, now: Micros, rps: f64, wps: f64, write_burst: f64) {
        self.requests.set(now, rps, rps * 0.5);
        self.writes.set(now, wps, write_burst);
    }

    /// Our share of the budget of changes, a second.
    pub fn write_rate(&self) -> f64 {
        self.writes.rate().max(0.1)
    }

    /// Our share of the budget of requests, a second.
    pub fn request_rate(&self) -> f64 {
        self.requests.rate().max(0.1)
    }

    /// Queues a request.
    pub fn ask(&mut self, rank: RequestPriority, tag: T, ask: StoreRequest) {
        self.queues[rank as usize].push_back(Queued { ask, tag });
    }

    /// How many of `most` wanted changes could be sent right now, behind what is queued already;
    /// 0: none, and they had better go on gathering.
    pub fn room_for(&mut self, now: Micros, most: usize) -> usize {
        if self
            .queues
            .iter()
            .flatten()
            .any(|q| write_count(&q.ask) > 0.0)
        {
            return 0;
        }
        if !self.requests.ready(now, 1.0) {
            return 0;
        }
        // A burst may be smaller than a transaction: then what it holds is as good as all.
        let at_once = self.writes.level(now).floor().max(0.0) as usize;
        at_once.min(most)
    }

    /// When `n` changes can be sent at once.
    pub fn room_at(&self, now: Micros, n: usize) -> Micros {
        let r = self.requests.ready_at(now, 1.0, false);
        r.max(self.writes.ready_at(now, n as f64, false))
    }

    /// Sends what the budgets allow.
    pub fn pump(&mut self, now: Micros, last_call_id: &mut u64, out: &mut Vec<NetworkCommand>) {
        loop {
            let Some(rank) = (0..3).find(|r| !self.queues[*r].is_empty()) else {
                return;
            };
            // A transaction short of write permits must not hold back reads of lower rank,
            // so each rank's head is tried; the write order within a rank stays.
            let mut sent = false;
            for r in rank..3 {
                let Some(q) = self.queues[r].front() else {
                    continue;
                };
                let writes = write_count(&q.ask);
                if !self.requests.ready(now, 1.0) {
                    return;
                }
                // Leadership and cancellations do not wait for the budget that others have used up: a
                // claim would outlive its lease, and nobody would ever lead.
                let ready = if r == RequestPriority::Urgent as usize {
                    self.writes.ready_with_overdraft(now, writes)
                } else {
                    self.writes.ready(now, writes)
                };
                if writes > 0.0 && !ready {
                    continue;
                }
                self.requests.take(1.0);
                self.writes.take(writes);
                if let Some(q) = self.queues[r].pop_front() {
                    *last_call_id += 1;
                    out.push(NetworkCommand::Call(self.call(*last_call_id, &q.ask)));
                    self.flying.insert(*last_call_id, (q.tag, q.ask, now));
                }
                sent = true;
                break;
            }
            if !sent {
                return;
            }
        }
    }

    /// When `pump` can next do something.
    pub fn wake(&self, now: Micros) -> Option<Micros> {
        self.queues
            .iter()
            .enumerate()
            .filter_map(|(rank, q)| Some((rank == RequestPriority::Urgent as usize, q.front()?)))
            .map(|(first, q)| {
                let r = self.requests.ready_at(now, 1.0, false);
                match write_count(&q.ask) {
                    w if w > 0.0 => r.max(self.writes.ready_at(now, w, first)),
                    _ => r,
                }
            })
            .min()
            .map(|t| t.max(now + Micros::millis(2)))
    }

    fn call(&self, id: u64, ask: &StoreRequest) -> Call {
        let (method, path, body, timeout) = match ask {
            StoreRequest::Transaction(t) => {
                ("POST", "/multi".to_string(), encode(t), STORE_TIMEOUT)
            }
            StoreRequest::Watch { after, block_ms } => (
                "GET",
                format!(
                    "/watch?under={}&after={after}&block_ms={block_ms}",
                    records::ROOT
                ),
                Vec::new(),
                STORE_TIMEOUT + Micros::millis(*block_ms),
            ),
            StoreRequest::List { after } => {
                let from = if after.is_empty() {
                    String::new()
                } else {
                    format!("&after={after}")
                };
                let path = format!("/keys?under={}{from}&most=500", records::ROOT);
                (
                    "GET",
                    path,
                    Vec::new(),
                    STORE_TIMEOUT + Micros::millis(3000),
                )
            }
            StoreRequest::NewLease(ttl) => (
                "POST",
                "/leases".to_string(),
                encode(&LeaseRequest {
                    ttl_ms: ttl.0 / 1000,
                }),
                STORE_TIMEOUT,
            ),
            StoreRequest::Renew(l) => (
                "POST",
                format!("/leases/{l}/renew"),
                Vec::new(),
                STORE_TIMEOUT,
            ),
        };
        Call {
            id,
            addr: self.addr,
            method,
            path,
            body,
            timeout,
        }
    }

    /// Matches an outcome with its request; gives back the request and when it was sent.
    pub fn on_response(
        &mut self,
        id: u64,
        outcome: &Outcome,
    ) -> Option<(T, StoreRequest, Micros, StoreResponse)> {
        let (tag, ask, sent) = self.flying.remove(&id)?;
        let reply = read_reply(&ask, outcome);
        match (&reply, outcome) {
            (_, Outcome::Reply { status: 429, .. }) => {}
            (StoreResponse::Refused, _) => self.failing += 2,
            (StoreResponse::Lost, _) => self.failing += 1,
            _ => self.failing = 0,
        }
        Some((tag, ask, sent, reply))
    }

    /// The state service does not serve us, whatever it does for others.
    pub fn silent(&self) -> bool {
        self.failing >= 2
    }
}

fn write_count(ask: &StoreRequest) -> f64 {
    match ask {
        StoreRequest::Transaction(t) => t.changes.len() as f64,
        _ => 0.0,
    }
}

fn read_reply(ask: &StoreRequest, outcome: &Outcome) -> StoreResponse {
    let (status, body) = match outcome {
        Outcome::NotSent => return StoreResponse::Refused,
        Outcome::Lost => return StoreResponse::Lost,
        Outcome::Reply { status, body } => (*status, body),
    };
    let sensible = match (status, ask) {
        (400, StoreRequest::Transaction(t)) => {
            // Too large or malformed, or a lease that has ended.
            let leased = |c: &Change| matches!(c, Change::Put { lease: Some(_), .. });
            if t.changes.iter().any(leased) {
                Some(StoreResponse::LeaseGone)
            } else {
                log::warn!(
                    "store: a transaction of {} changes is rejected",
                    t.changes.len()
                );
                Some(StoreResponse::Rejected)
            }
        }
        (429, StoreRequest::Transaction(_)) => Some(StoreResponse::TooFast),
        (503 | 429, _) => Some(StoreResponse::Refused),
        (200, StoreRequest::Transaction(_)) => {
            decode::<TransactionResponse>(body).map(|a| StoreResponse::Committed(a.revision))
        }
        (409, StoreRequest::Transaction(_)) => {
            decode::<TransactionResponse>(body).map(|a| StoreResponse::Conflict(a.failed))
        }
        (200, StoreRequest::Watch { .. }) => {
            decode::<WatchResponse>(body).map(StoreResponse::Events)
        }
        (410, StoreRequest::Watch { .. }) => Some(StoreResponse::TooOld),
        (200, StoreRequest::List { .. }) => decode::<ItemPage>(body).map(StoreResponse::Page),
        (200, StoreRequest::NewLease(_)) => {
            decode::<LeaseResponse>(body).map(|a| StoreResponse::Lease(a.lease))
        }
        (200, StoreRequest::Renew(l)) => Some(StoreResponse::Lease(*l)),
        (404, StoreRequest::Renew(_)) => Some(StoreResponse::LeaseGone),
        _ => None,
    };
    sensible.unwrap_or_else(|| {
        log::warn!("store: answer {status} to {} makes no sense", kind(ask));
        StoreResponse::Lost
    })
}

fn kind(ask: &StoreRequest) -> &'static str {
    match ask {
        StoreRequest::Transaction(_) => "a transaction",
        StoreRequest::Watch { .. } => "a watch",
        StoreRequest::List { .. } => "a listing",
        StoreRequest::NewLease(_) => "a lease request",
        StoreRequest::Renew(_) => "a lease renewal",
    }
}
