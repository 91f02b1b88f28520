//! Synchronisation of the cache with the key-value store: a listing of all records, then a watch for changes.

use crate::controller::Controller;
use crate::messages::StoreRequestPurpose;
use crate::protocol::key_value_api::{Change, ItemPage, Transaction};
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};

/// Delay before a failed request for a page of the listing is retried.
const LISTING_RETRY_DELAY: Micros = Micros::millis(250);
/// Delay before a failed watch is opened again.
const WATCH_RETRY_DELAY: Micros = Micros::millis(300);
/// How long the store holds a watch open while nothing changes, in milliseconds.
const WATCH_BLOCK_MS: u64 = 10_000;
/// Minimum distance between the starts of watches, in request intervals (an interval is the reciprocal of this
/// controller's request rate). The rest of the request budget is left for requests that clients wait for longer.
const WATCH_REQUEST_INTERVALS: f64 = 5.0;
/// Bounds of the interval between watches, in seconds.
const WATCH_INTERVAL_MIN_S: f64 = 0.04;
const WATCH_INTERVAL_MAX_S: f64 = 0.4;

/// Progress of the listing and of the watch.
pub(crate) struct RecordSync {
    /// All records are being listed, page by page.
    listing: bool,
    /// Last key of the previous page; empty for the first page.
    listing_cursor: String,
    /// When the next page is requested; `None` while a page is in flight and when the listing is complete.
    listing_due: Option<Micros>,
    /// A watch is in flight.
    watch_open: bool,
    /// When the next watch is opened; `None` while one is in flight and until the listing is complete.
    watch_due: Option<Micros>,
}

impl RecordSync {
    /// Creates the state for a listing that starts at `now`.
    pub(crate) fn new(now: Micros) -> RecordSync {
        RecordSync {
            listing: true,
            listing_cursor: String::new(),
            listing_due: Some(now),
            watch_open: false,
            watch_due: None,
        }
    }
}

impl Controller {
    /// Requests the next page of the listing if it is due; returns when to check again.
    pub(super) fn drive_listing(&mut self, now: Micros) -> Micros {
        match self.record_sync.listing_due {
            None => Micros::FAR_FUTURE,
            Some(due) if due > now => due,
            Some(_) => {
                self.record_sync.listing_due = None;
                let after = self.record_sync.listing_cursor.clone();
                self.store.enqueue(
                    RequestPriority::Urgent,
                    StoreRequestPurpose::ListRecords,
                    StoreRequest::List { after },
                );
                Micros::FAR_FUTURE
            }
        }
    }

    /// Opens the next watch if it is due; returns when to check again.
    pub(super) fn drive_watch(&mut self, now: Micros) -> Micros {
        match self.record_sync.watch_due {
            None => Micros::FAR_FUTURE,
            Some(due) if due > now => due,
            Some(_) => {
                self.record_sync.watch_due = None;
                self.record_sync.watch_open = true;
                let request = StoreRequest::Watch {
                    after: self.cache.revision,
                    block_ms: WATCH_BLOCK_MS,
                };
                self.store
                    .enqueue(RequestPriority::Urgent, StoreRequestPurpose::Watch, request);
                Micros::FAR_FUTURE
            }
        }
    }

    /// Handles the response to a request for a page of the listing.
    pub(super) fn on_listing_response(&mut self, clock: Clock, response: StoreResponse) {
        match response {
            StoreResponse::Page(page) => self.on_listing_page(clock, page),
            _ => self.record_sync.listing_due = Some(clock.now + LISTING_RETRY_DELAY),
        }
    }

    fn on_listing_page(&mut self, clock: Clock, page: ItemPage) {
        let last_key = page.items.last().map(|item| item.key.clone());
        let complete = self.cache.apply_listing_page(page);
        if !complete {
            self.record_sync.listing_cursor = last_key.unwrap_or_default();
            self.record_sync.listing_due = Some(clock.now);
            return;
        }
        log::info!("records listed revision={}", self.cache.revision);
        self.peers.record_summary = None;
        let sync = &mut self.record_sync;
        sync.listing_cursor.clear();
        sync.listing = false;
        sync.watch_due = (!sync.watch_open).then_some(clock.now);
        self.on_cache_updated(clock);
    }

    /// Handles the response to a watch that was sent at `sent`.
    pub(super) fn on_watch_response(
        &mut self,
        clock: Clock,
        sent: Micros,
        response: StoreResponse,
    ) {
        self.record_sync.watch_open = false;
        match response {
            StoreResponse::Events(changes) => {
                self.cache.apply_watch_response(changes);
                self.on_confirmed_read(sent);
                let next_watch = sent + self.watch_interval();
                self.record_sync.watch_due = Some(clock.now.max(next_watch));
                self.on_cache_updated(clock);
            }
            StoreResponse::RevisionTooOld => self.reload_records(clock),
            _ => self.record_sync.watch_due = Some(clock.now + WATCH_RETRY_DELAY),
        }
    }

    /// Returns the minimum time between the starts of two watches.
    fn watch_interval(&self) -> Micros {
        let interval_s = WATCH_REQUEST_INTERVALS / self.store.request_rate();
        Micros::secs(interval_s.clamp(WATCH_INTERVAL_MIN_S, WATCH_INTERVAL_MAX_S))
    }

    /// Lists all records again, unless a listing is in progress: a page of the old listing that is still in flight
    /// would move the cursor of the new one past keys that the new one has not read, and their records would be treated
    /// as deleted.
    pub(crate) fn reload_records(&mut self, clock: Clock) {
        let sync = &mut self.record_sync;
        if sync.listing {
            return;
        }
        log::info!("records listing restarted");
        sync.listing = true;
        sync.watch_due = None;
        sync.listing_cursor.clear();
        sync.listing_due = Some(clock.now);
    }

    /// Applies a transaction of this controller to the cache if it was committed; returns whether it was.
    pub(crate) fn apply_if_committed(
        &mut self,
        request: &StoreRequest,
        response: &StoreResponse,
    ) -> bool {
        let (StoreRequest::Transaction(transaction), StoreResponse::Committed(revision)) =
            (request, response)
        else {
            return false;
        };
        self.apply_own_commit(transaction, *revision);
        true
    }

    /// Applies a committed transaction of this controller to the cache. The revision that the watch continues from
    /// stays as it is, so that changes which others committed before this transaction are not skipped.
    pub fn apply_own_commit(&mut self, transaction: &Transaction, revision: u64) {
        for change in &transaction.changes {
            match change {
                Change::Put { key, value, .. } => self.cache.put(key, value.clone(), revision),
                Change::Delete { key } => self.cache.delete(key, revision),
            }
        }
    }
}
