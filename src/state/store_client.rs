//! Rate-limited client of the key-value store. It enforces this controller's share of the request and write budgets and
//! sends urgent requests first. It never retries, since only the caller can decide how to handle a lost response.

use crate::protocol::codec::{decode, encode};
use crate::protocol::key_value_api::{
    Change, ItemPage, LeaseRequest, LeaseResponse, Transaction, TransactionResponse, WatchResponse,
};
use crate::protocol::{Micros, records};
use crate::state::token_bucket::TokenBucket;
use crate::transport::{Call, NetworkCommand, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Tokens available when a process starts. They are fewer than the burst, which the previous run may just have spent:
/// if each restart in a crash loop spent a full burst, the store would refuse requests of the other controllers.
const INITIAL_REQUESTS: f64 = 4.0;
const INITIAL_WRITES: f64 = 1.0;
/// The request budget's burst, in seconds of its rate.
const REQUEST_BURST_S: f64 = 0.5;
/// Lower bound of the reported rates, per second, since callers divide by them.
const MIN_REPORTED_RATE: f64 = 0.1;
/// Timeout of a request.
const STORE_TIMEOUT: Micros = Micros::millis(1500);
/// Additional timeout of a request for a page of a listing.
const LISTING_EXTRA_TIMEOUT: Micros = Micros::millis(3000);
/// Number of keys in a page of a listing.
const LISTING_PAGE_SIZE: usize = 500;
/// Minimum delay before the client asks to be called again.
const MIN_WAIT: Micros = Micros::millis(2);
/// Weights of consecutive failures by kind, and the total weight at which the store counts as unresponsive.
const LOST_WEIGHT: u32 = 1;
const REFUSED_WEIGHT: u32 = 2;
const UNRESPONSIVE_WEIGHT: u32 = 2;

/// A request to the store.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// A transaction.
    Transaction(Transaction),
    /// A long poll for changes after a revision.
    Watch {
        /// The revision.
        after: u64,
        /// How long the store may wait for a change, in ms.
        block_ms: u64,
    },
    /// A page of all keys of this service.
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
    /// Changes since the watched revision.
    Events(WatchResponse),
    /// The revision is too old to watch from.
    RevisionTooOld,
    /// A page of keys.
    Page(ItemPage),
    /// The lease with this id was created or renewed.
    Lease(u64),
    /// The lease has expired.
    LeaseExpired,
    /// The request was not carried out.
    Refused,
    /// The transaction was not carried out because of a rate limit. A later attempt may succeed.
    RateLimited,
    /// The transaction was not carried out, and a retry would fail, too: the store does not accept it, perhaps because
    /// its limits are lower than those in the settings.
    Rejected,
    /// No valid response arrived. The request may have been carried out, or may still be.
    Lost,
}

/// How urgent a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPriority {
    /// Leadership, cancellations, read barriers.
    Urgent = 0,
    /// Acceptance of jobs, and placements.
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

    /// Whether requests may overdraw the write budget. Writes for leadership and cancellations do not wait for budget
    /// that other writes have used up: otherwise a candidate's lease could expire before its claim is written, and no
    /// controller would ever lead.
    fn may_overdraw(self) -> bool {
        self == RequestPriority::Urgent
    }
}

/// A request that waits for the budgets.
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

/// The client. A `T` is attached to each request and returned with its result, so that the caller can match them.
pub struct StoreClient<T> {
    addr: SocketAddr,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    /// Queues by `RequestPriority`.
    queues: [VecDeque<QueuedRequest<T>>; 3],
    /// Requests in flight, by call id.
    in_flight: BTreeMap<u64, RequestInFlight<T>>,
    /// Total weight of the consecutive failures.
    failure_weight: u32,
}

impl<T> StoreClient<T> {
    /// Creates a client of the store at `addr`, with budgets of `rps` requests and `wps` changes per second.
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
        self.request_budget
            .set_rate(now, rps, rps * REQUEST_BURST_S);
        self.write_budget.set_rate(now, wps, write_burst);
    }

    /// Our share of the write budget, in changes per second.
    pub fn write_rate(&self) -> f64 {
        self.write_budget.rate().max(MIN_REPORTED_RATE)
    }

    /// Our share of the request budget, in requests per second.
    pub fn request_rate(&self) -> f64 {
        self.request_budget.rate().max(MIN_REPORTED_RATE)
    }

    /// Queues a request.
    pub fn enqueue(&mut self, priority: RequestPriority, purpose: T, request: StoreRequest) {
        let queued = QueuedRequest { request, purpose };
        self.queues[priority as usize].push_back(queued);
    }

    /// How many of `wanted` changes could be sent now in one transaction. 0 if other changes are queued already: the
    /// caller should then continue to collect changes.
    pub fn sendable_changes(&mut self, now: Micros, wanted: usize) -> usize {
        let mut queued = self.queues.iter().flatten();
        if queued.any(|q| change_count(&q.request) > 0.0) {
            return 0;
        }
        if !self.request_budget.ready(now, 1.0) {
            return 0;
        }
        // The burst may be smaller than a transaction, so fewer changes than `wanted` may be sent.
        let available = self.write_budget.available_tokens(now).floor().max(0.0) as usize;
        available.min(wanted)
    }

    /// When `count` changes can be sent in one transaction.
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

    /// Dequeues the most urgent request that the budgets allow and charges its cost to them. A transaction that waits
    /// for write budget must not delay reads of lower priority, so the head of each queue is tried. Each queue stays in
    /// order.
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

    /// When `send_queued` can send the next request; `None` if none is queued.
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
        let http = HttpRequest::from_request(request);
        Call {
            id,
            addr: self.addr,
            method: http.method,
            path: http.path,
            body: http.body,
            timeout: http.timeout,
        }
    }

    /// Matches the outcome of a call with its request; `None` if this client did not make the call.
    pub fn on_response(&mut self, id: u64, outcome: &Outcome) -> Option<CompletedRequest<T>> {
        let sent = self.in_flight.remove(&id)?;
        let response = read_response(&sent.request, outcome);
        match (&response, outcome) {
            // A rate limit is no evidence of whether the store serves this controller.
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

    /// Whether the store seems not to serve this controller. It may still serve others.
    pub fn is_unresponsive(&self) -> bool {
        self.failure_weight >= UNRESPONSIVE_WEIGHT
    }
}

/// A request as sent over HTTP.
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

    fn from_request(request: &StoreRequest) -> HttpRequest {
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

/// The number of changes in a request, which is its cost in the write budget.
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
            410 => Some(StoreResponse::RevisionTooOld),
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
            404 => Some(StoreResponse::LeaseExpired),
            _ => None,
        },
    };
    if let Some(response) = response {
        return response;
    }
    if matches!(status, 429 | 503) {
        return StoreResponse::Refused;
    }
    let request = request_kind(request);
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
        429 => Some(StoreResponse::RateLimited),
        // The store answers 400 if the transaction is too large or malformed, or if its lease has expired.
        400 if attaches_lease(transaction) => Some(StoreResponse::LeaseExpired),
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
fn request_kind(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Transaction(_) => "transaction",
        StoreRequest::Watch { .. } => "watch",
        StoreRequest::List { .. } => "list",
        StoreRequest::NewLease(_) => "new-lease",
        StoreRequest::Renew(_) => "renew-lease",
    }
}
