//! Synchronisation of the cache with the key-value store: a listing of all records, then a watch for changes.

use crate::controller::Controller;
use crate::messages::StoreRequestPurpose;
use crate::protocol::key_value_api::{Change, ItemPage, Transaction};
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};

/// A page of the listing that failed is requested again after this long.
const LISTING_RETRY_DELAY: Micros = Micros::millis(250);
/// A watch that failed is opened again after this long.
const WATCH_RETRY_DELAY: Micros = Micros::millis(300);
/// How long the store holds a watch open while nothing changes, in milliseconds.
const WATCH_BLOCK_MS: u64 = 10_000;
/// Watches start at least this many request intervals apart (one over our request rate): the rest of the budget is for
/// requests that clients wait for longer.
const WATCH_REQUEST_INTERVALS: f64 = 5.0;
/// Bounds of the interval between watches, in seconds.
const WATCH_INTERVAL_MIN_S: f64 = 0.04;
const WATCH_INTERVAL_MAX_S: f64 = 0.4;

/// Progress of the listing and of the watch.
pub(crate) struct RecordSync {
    /// All records are being listed, page by page.
    listing: bool,
    /// Last key of the page before; empty at the first page.
    listing_cursor: String,
    /// When the next page is requested; `None`: a page is in flight, or the listing is complete.
    listing_due: Option<Micros>,
    /// A watch is in flight.
    watch_open: bool,
    /// When the next watch is opened; `None`: one is in flight, or the listing comes first.
    watch_due: Option<Micros>,
}

impl RecordSync {
    /// A listing that starts at `now`.
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
    /// Requests the next page of the listing if it is due; returns when to look again.
    pub(super) fn drive_listing(&mut self, now: Micros) -> Micros {
        match self.record_sync.listing_due {
            None => Micros::FAR,
            Some(due) if due > now => due,
            Some(_) => {
                self.record_sync.listing_due = None;
                let after = self.record_sync.listing_cursor.clone();
                self.store.enqueue(
                    RequestPriority::Urgent,
                    StoreRequestPurpose::ListRecords,
                    StoreRequest::List { after },
                );
                Micros::FAR
            }
        }
    }

    /// Opens the watch if it is due; returns when to look again.
    pub(super) fn drive_watch(&mut self, now: Micros) -> Micros {
        match self.record_sync.watch_due {
            None => Micros::FAR,
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
                Micros::FAR
            }
        }
    }

    /// Handles the response to a page of the listing.
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
            StoreResponse::TooOld => self.reload_records(clock),
            _ => self.record_sync.watch_due = Some(clock.now + WATCH_RETRY_DELAY),
        }
    }

    /// Least time between the starts of two watches.
    fn watch_interval(&self) -> Micros {
        let interval_s = WATCH_REQUEST_INTERVALS / self.store.request_rate();
        Micros::secs(interval_s.clamp(WATCH_INTERVAL_MIN_S, WATCH_INTERVAL_MAX_S))
    }

    /// Lists all records again, unless a listing is running: its pages would move the cursor of the new listing past
    /// keys that this one has not seen, and their records would be taken for deleted.
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

    /// Applies our own transaction to the cache if it was committed; returns whether it was.
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

    /// Applies a committed transaction of our own to the cache. The watch continues from where it was, so changes of
    /// others before this revision are not skipped.
    pub fn apply_own_commit(&mut self, transaction: &Transaction, revision: u64) {
        for change in &transaction.changes {
            match change {
                Change::Put { put, value, .. } => self.cache.put(put, value.clone(), revision),
                Change::Delete { key } => self.cache.delete(key, revision),
            }
        }
    }
}
