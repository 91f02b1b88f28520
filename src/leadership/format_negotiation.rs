//! Which formats of records all controllers read, and what becomes of one that goes back.

use crate::controller::Controller;
use crate::leadership::election::LEADER_SILENCE_LIMIT;
use crate::leadership::peers::PeerStatus;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::protocol::key_value_api::Change;
use crate::protocol::key_value_api::Transaction;
use crate::protocol::key_value_api::VersionCondition;
use crate::protocol::records::format_key;
use crate::protocol::{Micros, format};
use crate::state::store_client::{RequestPriority, StoreRequest};

/// The record of the format we read is looked at again this long after it was written.
pub(crate) const FORMAT_CHECK_INTERVAL: Micros = Micros::millis(1000);

impl Controller {
    /// Whether every controller named in the settings has recorded that it reads this format, so that
    /// what the format adds may be written.
    pub fn all_peers_read(&self, format: u32) -> bool {
        let s = &self.settings;
        let names = s.peers.iter().map(|x| &x.node);
        names
            .chain([&s.node])
            .all(|n| self.cache.format_of(n).0 >= format)
    }

    /// Records which format we read, once per start; a peer that has gone back to an older version
    /// loses the record of its newer one.
    pub(crate) fn negotiate_format(&mut self, clock: Clock) -> Micros {
        let Some(at) = self.format_record_due else {
            return Micros::FAR;
        };
        if !self.cache.synced {
            return Micros::FAR;
        }
        if !self.format_rollout_logged && self.all_peers_read(format::NEWEST) {
            self.format_rollout_logged = true;
            log::info!("all controllers read format {}", format::NEWEST);
        }
        let (ours, version) = self.cache.format_of(&self.settings.node);
        let key = format_key(&self.settings.node);
        let txn = if ours != format::NEWEST {
            Transaction {
                conds: vec![VersionCondition::new(&key, version)],
                changes: vec![Change::put(&key, &format::NEWEST, None)],
            }
        } else {
            let view = &self.peers.view;
            let recent = |v: &PeerStatus| clock.now.since(v.heard) < LEADER_SILENCE_LIMIT;
            let back = view
                .iter()
                .filter(|(_, v)| recent(v))
                .find_map(|(node, v)| {
                    let (recorded, version) = self.cache.format_of(node);
                    let older = v.went_back.filter(|f| *f < recorded)?;
                    Some((node.clone(), older, version))
                });
            let Some((node, older, version)) = back else {
                return Micros::FAR;
            };
            if at <= clock.now {
                log::warn!("{node} has gone back to format {older}");
            }
            self.format_rollout_logged = false;
            // Not deleted: its version would come again, and with it a first write that was late.
            let key = format_key(&node);
            Transaction {
                conds: vec![VersionCondition::new(&key, version)],
                changes: vec![Change::put(&key, &older, None)],
            }
        };
        if clock.now < at {
            return at;
        }
        self.format_record_due = None;
        self.store.ask(
            RequestPriority::Normal,
            StoreRequestPurpose::RecordFormat,
            StoreRequest::Transaction(txn),
        );
        Micros::FAR
    }
}
