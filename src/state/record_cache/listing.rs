//! Application of listings. A listing returns all records in pages; after the last page, cached records that it did not
//! contain are removed.

use super::RecordCache;
use crate::protocol::key_value_api::ItemPage;
use crate::protocol::records::{
    FORMATS_PREFIX, JOBS_PREFIX, LEADER_KEY, LEADER_LEASE_KEY, RENEWALS_PREFIX, placement_batch_key,
};
use std::collections::BTreeSet;

/// A listing in progress.
#[derive(Debug)]
pub(super) struct Listing {
    /// Keys on the pages so far.
    keys: BTreeSet<String>,
    /// Revision of the first page. Changes after it must be watched.
    revision: u64,
}

impl RecordCache {
    /// Applies a page of a listing; returns whether it was the last. The watch must begin at the first page's revision.
    pub fn apply_listing_page(&mut self, page: ItemPage) -> bool {
        self.mixed_revisions = true;
        let listing = self.listing.get_or_insert_with(|| Listing {
            keys: BTreeSet::new(),
            revision: page.revision,
        });
        let keys = page.items.iter().map(|item| item.key.clone());
        listing.keys.extend(keys);
        for item in page.items {
            self.put(&item.key, item.value, item.version);
        }
        if page.has_more {
            return false;
        }
        if let Some(listing) = self.listing.take() {
            self.finish_listing(&listing);
        }
        true
    }

    /// Removes the cached records that the listing did not contain. Records written after the listing began stay,
    /// because their versions exceed the listing's revision.
    fn finish_listing(&mut self, listing: &Listing) {
        let deleted: Vec<String> = self
            .deletable_keys()
            .filter(|key| !listing.keys.contains(key))
            .collect();
        for key in deleted {
            self.delete(&key, listing.revision);
        }
        self.revision = self.revision.max(listing.revision);
        self.synced = true;
        self.finish_cancelled_jobs();
    }

    /// Keys of the cached records of the kinds that can be deleted from the store.
    fn deletable_keys(&self) -> impl Iterator<Item = String> {
        let jobs = self.jobs.keys().map(|id| format!("{JOBS_PREFIX}{id}"));
        let renewals = self
            .renewals
            .keys()
            .map(|node| format!("{RENEWALS_PREFIX}{node}"));
        let formats = self
            .formats
            .keys()
            .map(|node| format!("{FORMATS_PREFIX}{node}"));
        let batches = self.placement_batches.numbers();
        jobs.chain(renewals)
            .chain(formats)
            .chain(batches.map(|(number, _)| placement_batch_key(number)))
            .chain([LEADER_KEY.to_string(), LEADER_LEASE_KEY.to_string()])
    }
}
