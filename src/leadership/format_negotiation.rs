//! Negotiation of the record format: records which format each controller reads, and lowers the recorded format of a
//! controller whose software was rolled back.

use crate::controller::Controller;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::key_value_api::Change;
use crate::protocol::key_value_api::Transaction;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::records::format_key;
use crate::protocol::{Micros, format};
use crate::state::store_client::{RequestPriority, StoreRequest};

/// Delay between a write of a format record and the next check of the format records.
pub(crate) const FORMAT_CHECK_INTERVAL: Micros = Micros::millis(1000);

/// A peer that reports an older format than its record.
struct Downgrade<'a> {
    node: &'a str,
    format: u32,
    /// Version of the peer's format record.
    record_version: u64,
}

impl Controller {
    /// Whether every controller in the settings has recorded that it reads this format or a newer one, so that
    /// features of the format may be used in records.
    pub fn all_controllers_read(&self, format: u32) -> bool {
        let peers = self.settings.peers.iter().map(|peer| &peer.node);
        let mut controllers = peers.chain([&self.settings.node]);
        controllers.all(|node| self.cache.format_of(node).0 >= format)
    }

    /// Records which format this controller reads, and lowers the record of a peer that was rolled back to an older
    /// format; returns when to check again.
    pub(crate) fn negotiate_format(&mut self, clock: Clock) -> Micros {
        let Some(due_at) = self.format_record_due else {
            return Micros::FAR_FUTURE;
        };
        if !self.cache.synced {
            return Micros::FAR_FUTURE;
        }
        if !self.format_rollout_logged && self.all_controllers_read(format::NEWEST) {
            self.format_rollout_logged = true;
            log::info!("format read by all controllers format={}", format::NEWEST);
        }
        let transaction = self.own_format_update();
        let Some(transaction) = transaction.or_else(|| self.downgrade_update(clock, due_at)) else {
            return Micros::FAR_FUTURE;
        };
        if clock.now < due_at {
            return due_at;
        }
        self.format_record_due = None;
        self.store.enqueue(
            RequestPriority::Normal,
            StoreRequestPurpose::RecordFormat,
            StoreRequest::Transaction(transaction),
        );
        Micros::FAR_FUTURE
    }

    /// The transaction that records this controller's format; `None` if it is already recorded.
    fn own_format_update(&self) -> Option<Transaction> {
        let (recorded, version) = self.cache.format_of(&self.settings.node);
        if recorded == format::NEWEST {
            return None;
        }
        let key = format_key(&self.settings.node);
        Some(Transaction {
            conditions: vec![VersionCondition::new(&key, version)],
            changes: vec![Change::put(&key, &format::NEWEST, None)],
        })
    }

    /// The transaction that lowers the recorded format of a peer that was rolled back; `None` if there is no such
    /// peer.
    fn downgrade_update(&mut self, clock: Clock, due_at: Micros) -> Option<Transaction> {
        let downgrade = self.find_downgrade(clock)?;
        let older_format = downgrade.format;
        if due_at <= clock.now {
            log::warn!(
                "peer downgraded peer={} format={older_format}",
                downgrade.node
            );
        }
        // The record is overwritten rather than deleted: deletion would reset its version, and a delayed write that is
        // conditional on the record's absence could then succeed.
        let key = format_key(downgrade.node);
        let transaction = Transaction {
            conditions: vec![VersionCondition::new(&key, downgrade.record_version)],
            changes: vec![Change::put(&key, &older_format, None)],
        };
        self.format_rollout_logged = false;
        Some(transaction)
    }

    /// The first reachable peer whose format is older than the recorded one.
    fn find_downgrade(&self, clock: Clock) -> Option<Downgrade<'_>> {
        let reachable_peers = self
            .peers
            .status
            .iter()
            .filter(|(_, status)| status.is_reachable(clock.now));
        reachable_peers.into_iter().find_map(|(node, status)| {
            let (recorded, record_version) = self.cache.format_of(node);
            let format = status
                .downgraded_format
                .filter(|format| *format < recorded)?;
            Some(Downgrade {
                node,
                format,
                record_version,
            })
        })
    }
}
