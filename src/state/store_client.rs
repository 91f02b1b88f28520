//! Rate-limited client of the key-value store. It owns this controller's share of the request and write budgets and
//! sends urgent requests first. It never retries: only the caller knows what a lost response means.

use crate::protocol::codec::{decode, encode};
use crate::protocol::key_value_api::{
    Change, ItemPage, LeaseRequest, LeaseResponse, Transaction, TransactionResponse, WatchResponse,
};
use crate::protocol::{Micros, records};
use crate::state::token_bucket::TokenBucket;
use crate::transport::{Call, NetworkCommand, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Tokens available when a process starts. An earlier run may have used up the burst a moment ago: if each run of a
/// crash loop spent it anew, the store would refuse the other controllers.
const INITIAL_REQUESTS: f64 = 4.0;
const INITIAL_WRITES: f64 = 1.0;
/// The request budget's burst, in seconds of its rate.
const REQUEST_BURST_S: f64 = 0.5;
/// Rates are reported as at least this much a second, since callers divide by them.
const MIN_REPORTED_RATE: f64 = 0.1;
/// How long a request may take.
const STORE_TIMEOUT: Micros = Micros::millis(1500);
/// How much longer a page of a listing may take.
const LISTING_EXTRA_TIMEOUT: Micros = Micros::millis(3000);
/// Keys in a page of a listing.
const LISTING_PAGE_SIZE: usize = 500;
/// The client asks to be called again no sooner than after this.
const MIN_WAIT: Micros = Micros::millis(2);
/// Weights of consecutive failures, and the sum from which on the store counts as unresponsive.
const LOST_WEIGHT: u32 = 1;
const REFUSED_WEIGHT: u32 = 2;
const UNRESPONSIVE_WEIGHT: u32 = 2;

/// A request to the store.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// A transaction.
    Transaction(Transaction),
    /// Changes after a revision.
    Watch {
        /// The revision.
        after: u64,
        /// How long the store may wait for a change, in ms.
        block_ms: u64,
    },
    /// A page of all our keys.
    List {
        /// The last key of the previous page; empty for the first page.
        after: String,
    },
    /// Creation of a lease with this duration.
    NewLease(Micros),
    /// Renewal of the lease with this id.
    Renew(u64),
}

/// The result of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    /// The transaction was carried out at this revision.
    Committed(u64),
    /// The transaction's conditions on these keys failed.
    Conflict(Vec<String>),
    /// Changes.
    Events(WatchResponse),
    /// The revision is too old to watch from.
    TooOld,
    /// A page of keys.
    Page(ItemPage),
    /// The lease with this id was created or renewed.
    Lease(u64),
    /// The lease has expired.
    LeaseGone,
    /// Certainly not carried out.
    Refused,
    /// Certainly not carried out because of a rate limit: a later attempt may succeed.
    TooFast,
    /// Certainly not carried out, and a repetition will not be either: the store accepts no such transaction, perhaps
    /// because its limits are lower than the settings say.
    Rejected,
    /// No response, or none that can be understood: the request may have been, or may still be, carried out.
    Lost,
}

/// How urgent a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leadership, cancellations, read barriers.
    Urgent = 0,
    /// Acceptances and placements.
    Normal = 1,
    /// Everything else.
    Background = 2,
}

impl RequestPriority {
    /// All priorities, most urgent first.
    const ALL: [RequestPriority; 3] = [
        RequestPriority::Urgent,
        RequestPriority::Normal,
        RequestPriority::Background,
    ];

    /// Whether requests may overdraw the write budget. Leadership and cancellations do not wait for budget that others
    /// have used up: a claim would outlive its lease, and no controller would ever lead.
    fn may_overdraw(self) -> bool {
        self == RequestPriority::Urgent
    }
}

/// A request that waits for budget.
struct QueuedRequest<T> {
    request: StoreRequest,
    purpose: T,
}

/// A request that waits for its response.
struct RequestInFlight<T> {
    request: StoreRequest,
    purpose: T,
    sent_at: Micros,
}

/// A request with its result.
#[derive(Debug)]
pub struct CompletedRequest<T> {
    /// Why the request was made.
    pub purpose: T,
    /// The request.
    pub request: StoreRequest,
    /// When it was sent.
    pub sent_at: Micros,
    /// Its result.
    pub response: StoreResponse,
}

/// The client; `T` tells the owner of a request why it was made.
pub struct StoreClient<T> {
    addr: SocketAddr,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    /// Queues by `RequestPriority`.
    queues: [VecDeque<QueuedRequest<T>>; 3],
    /// Requests in flight, by number of the call.
    in_flight: BTreeMap<u64, RequestInFlight<T>>,
    /// Total weight of the consecutive failures.
    failure_weight: u32,
}

impl<T> StoreClient<T> {
    /// A client of the store at `addr`, with budgets of `rps` requests and `wps` changes a second.
    pub fn new(addr: SocketAddr, rps: f64, wps: f64, write_burst: f64) -> StoreClient<T> {
        let requests = TokenBucket::new(rps, rps * REQUEST_BURST_S);
        let writes = TokenBucket::new(wps, write_burst);
        StoreClient {
            addr,
            request_budget: requests.with_initial_tokens(INITIAL_REQUESTS),
            write_budget: writes.with_initial_tokens(INITIAL_WRITES),
            queues: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
            in_flight: BTreeMap::new(),
            failure_weight: 0,
        }
    }

    /// Changes our share of the budgets.
    pub fn set_rates(&mut self, now: Micros, rps: f64, wps: f64, write_burst: f64) {
        self.request_budget.set(now, rps, rps * REQUEST_BURST_S);
        self.write_budget.set(now, wps, write_burst);
    }

    /// Our share of the write budget, in changes a second.
    pub fn write_rate(&self) -> f64 {
        self.write_budget.rate().max(MIN_REPORTED_RATE)
    }

    /// Our share of the request budget, in requests a second.
    pub fn request_rate(&self) -> f64 {
        self.request_budget.rate().max(MIN_REPORTED_RATE)
    }

    /// Queues a request.
    pub fn enqueue(&mut self, priority: RequestPriority, purpose: T, request: StoreRequest) {
        let queued = QueuedRequest { request, purpose };
        self.queues[priority as usize].push_back(queued);
    }

    /// How many of `wanted` changes could be sent at once now. 0 if other changes are queued already: then it is
    /// better to go on gathering.
    pub fn sendable_changes(&mut self, now: Micros, wanted: usize) -> usize {
        let mut queued = self.queues.iter().flatten();
        if queued.any(|q| change_count(&q.request) > 0.0) {
            return 0;
        }
        if !self.request_budget.ready(now, 1.0) {
            return 0;
        }
        // The burst may be smaller than a transaction: then whatever is available counts.
        let available = self.write_budget.level(now).floor().max(0.0) as usize;
        available.min(wanted)
    }

    /// When `count` changes can be sent at once.
    pub fn changes_sendable_at(&self, now: Micros, count: usize) -> Micros {
        self.affordable_at(now, count as f64, false)
    }

    fn affordable_at(&self, now: Micros, changes: f64, overdraft: bool) -> Micros {
        let request_at = self.request_budget.ready_at(now, 1.0, false);
        request_at.max(self.write_budget.ready_at(now, changes, overdraft))
    }

    /// Sends the queued requests that the budgets allow.
    pub fn send_queued(
        &mut self,
        now: Micros,
        last_call_id: &mut u64,
        commands: &mut Vec<NetworkCommand>,
    ) {
        while let Some(QueuedRequest { request, purpose }) = self.take_affordable(now) {
            *last_call_id += 1;
            commands.push(NetworkCommand::Call(self.call(*last_call_id, &request)));
            let in_flight = RequestInFlight {
                request,
                purpose,
                sent_at: now,
            };
            self.in_flight.insert(*last_call_id, in_flight);
        }
    }

    /// Takes the most urgent request that the budgets allow, and its cost from the budgets. A transaction short of
    /// write budget must not hold back reads of lower priority, so the head of each queue is tried; the order of
    /// writes within a queue stays.
    fn take_affordable(&mut self, now: Micros) -> Option<QueuedRequest<T>> {
        for priority in RequestPriority::ALL {
            let Some(queued) = self.queues[priority as usize].front() else {
                continue;
            };
            let changes = change_count(&queued.request);
            if !self.request_budget.ready(now, 1.0) {
                return None;
            }
            let has_write_budget = if priority.may_overdraw() {
                self.write_budget.ready_with_overdraft(now, changes)
            } else {
                self.write_budget.ready(now, changes)
            };
            if changes > 0.0 && !has_write_budget {
                continue;
            }
            self.request_budget.take(1.0);
            self.write_budget.take(changes);
            return self.queues[priority as usize].pop_front();
        }
        None
    }

    /// When `send_queued` can send something next; `None` if nothing is queued.
    pub fn next_send_at(&self, now: Micros) -> Option<Micros> {
        let heads = RequestPriority::ALL.into_iter().filter_map(|priority| {
            let queued = self.queues[priority as usize].front()?;
            Some(self.request_affordable_at(now, priority, &queued.request))
        });
        heads.min().map(|at| at.max(now + MIN_WAIT))
    }

    fn request_affordable_at(
        &self,
        now: Micros,
        priority: RequestPriority,
        request: &StoreRequest,
    ) -> Micros {
        let changes = change_count(request);
        if changes > 0.0 {
            self.affordable_at(now, changes, priority.may_overdraw())
        } else {
            self.request_budget.ready_at(now, 1.0, false)
        }
    }

    fn call(&self, id: u64, request: &StoreRequest) -> Call {
        let http = HttpRequest::of(request);
        Call {
            id,
            addr: self.addr,
            method: http.method,
            path: http.path,
            body: http.body,
            timeout: http.timeout,
        }
    }

    /// Matches the outcome of a call with its request; `None` if the call is not one of this client.
    pub fn on_response(&mut self, id: u64, outcome: &Outcome) -> Option<CompletedRequest<T>> {
        let sent = self.in_flight.remove(&id)?;
        let response = read_response(&sent.request, outcome);
        match (&response, outcome) {
            // A rate limit shows neither that the store serves us nor that it does not.
            (_, Outcome::Response { status: 429, .. }) => {}
            (StoreResponse::Refused, _) => self.failure_weight += REFUSED_WEIGHT,
            (StoreResponse::Lost, _) => self.failure_weight += LOST_WEIGHT,
            _ => self.failure_weight = 0,
        }
        Some(CompletedRequest {
            purpose: sent.purpose,
            request: sent.request,
            sent_at: sent.sent_at,
            response,
        })
    }

    /// Whether the store does not serve this controller; it may serve others.
    pub fn is_unresponsive(&self) -> bool {
        self.failure_weight >= UNRESPONSIVE_WEIGHT
    }
}

/// A request in HTTP.
struct HttpRequest {
    method: &'static str,
    path: String,
    body: Vec<u8>,
    timeout: Micros,
}

impl HttpRequest {
    fn get(path: String, timeout: Micros) -> HttpRequest {
        HttpRequest {
            method: "GET",
            path,
            body: Vec::new(),
            timeout,
        }
    }

    fn post(path: String, body: Vec<u8>) -> HttpRequest {
        HttpRequest {
            method: "POST",
            path,
            body,
            timeout: STORE_TIMEOUT,
        }
    }

    fn of(request: &StoreRequest) -> HttpRequest {
        let root = records::KEY_PREFIX;
        match request {
            StoreRequest::Transaction(transaction) => {
                HttpRequest::post("/multi".to_string(), encode(transaction))
            }
            StoreRequest::Watch { after, block_ms } => HttpRequest::get(
                format!("/watch?under={root}&after={after}&block_ms={block_ms}"),
                STORE_TIMEOUT + Micros::millis(*block_ms),
            ),
            StoreRequest::List { after } => {
                let cursor = match after.as_str() {
                    "" => String::new(),
                    last_key => format!("&after={last_key}"),
                };
                HttpRequest::get(
                    format!("/keys?under={root}{cursor}&most={LISTING_PAGE_SIZE}"),
                    STORE_TIMEOUT + LISTING_EXTRA_TIMEOUT,
                )
            }
            StoreRequest::NewLease(duration) => {
                let ttl_ms = duration.0 / 1000;
                HttpRequest::post("/leases".to_string(), encode(&LeaseRequest { ttl_ms }))
            }
            StoreRequest::Renew(lease) => {
                HttpRequest::post(format!("/leases/{lease}/renew"), Vec::new())
            }
        }
    }
}

/// The changes of a request, as they count against the write budget.
fn change_count(request: &StoreRequest) -> f64 {
    match request {
        StoreRequest::Transaction(transaction) => transaction.changes.len() as f64,
        _ => 0.0,
    }
}

fn read_response(request: &StoreRequest, outcome: &Outcome) -> StoreResponse {
    let (status, body) = match outcome {
        Outcome::NotSent => return StoreResponse::Refused,
        Outcome::Lost => return StoreResponse::Lost,
        Outcome::Response { status, body } => (*status, body),
    };
    let response = match request {
        StoreRequest::Transaction(transaction) => {
            read_transaction_response(transaction, status, body)
        }
        StoreRequest::Watch { .. } => match status {
            200 => decode::<WatchResponse>(body).map(StoreResponse::Events),
            410 => Some(StoreResponse::TooOld),
            _ => None,
        },
        StoreRequest::List { .. } => match status {
            200 => decode::<ItemPage>(body).map(StoreResponse::Page),
            _ => None,
        },
        StoreRequest::NewLease(_) => match status {
            200 => decode::<LeaseResponse>(body).map(|r| StoreResponse::Lease(r.lease)),
            _ => None,
        },
        StoreRequest::Renew(lease) => match status {
            200 => Some(StoreResponse::Lease(*lease)),
            404 => Some(StoreResponse::LeaseGone),
            _ => None,
        },
    };
    if let Some(response) = response {
        return response;
    }
    if matches!(status, 429 | 503) {
        return StoreResponse::Refused;
    }
    let request = kind(request);
    log::warn!("unexpected store response status={status} request={request}");
    StoreResponse::Lost
}

fn read_transaction_response(
    transaction: &Transaction,
    status: u16,
    body: &[u8],
) -> Option<StoreResponse> {
    match status {
        200 => decode::<TransactionResponse>(body).map(|r| StoreResponse::Committed(r.revision)),
        409 => decode::<TransactionResponse>(body).map(|r| StoreResponse::Conflict(r.failed)),
        429 => Some(StoreResponse::TooFast),
        // Too large or malformed, or with an expired lease.
        400 if attaches_lease(transaction) => Some(StoreResponse::LeaseGone),
        400 => {
            let changes = transaction.changes.len();
            log::warn!("transaction rejected changes={changes}");
            Some(StoreResponse::Rejected)
        }
        _ => None,
    }
}

fn attaches_lease(transaction: &Transaction) -> bool {
    let has_lease = |change: &Change| matches!(change, Change::Put { lease: Some(_), .. });
    transaction.changes.iter().any(has_lease)
}

/// The kind of a request, for the log.
fn kind(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Transaction(_) => "transaction",
        StoreRequest::Watch { .. } => "watch",
        StoreRequest::List { .. } => "list",
        StoreRequest::NewLease(_) => "new-lease",
        StoreRequest::Renew(_) => "renew-lease",
    }
}
