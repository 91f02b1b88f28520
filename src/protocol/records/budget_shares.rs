//! The stored shares of the write budget.

use crate::protocol::Micros;
use admission_control::parts::{Grant, Share};
use serde::{Deserialize, Serialize};

/// A controller's share of the write budget, stored as an array.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, Micros, u64)", into = "(u64, Micros, u64)")]
struct StoredShare {
    /// Thousandths of a change per second.
    amount: u64,
    /// Time of day at which the share expires.
    until: Micros,
    /// Number of the grant to which the share belongs.
    epoch: u64,
}

impl From<(u64, Micros, u64)> for StoredShare {
    fn from((amount, until, epoch): (u64, Micros, u64)) -> StoredShare {
        StoredShare {
            amount,
            until,
            epoch,
        }
    }
}

impl From<StoredShare> for (u64, Micros, u64) {
    fn from(share: StoredShare) -> (u64, Micros, u64) {
        (share.amount, share.until, share.epoch)
    }
}

impl From<&Share> for StoredShare {
    fn from(part: &Share) -> StoredShare {
        StoredShare {
            amount: part.amount,
            until: Micros(part.expires_at),
            epoch: part.epoch,
        }
    }
}

impl From<StoredShare> for Share {
    fn from(share: StoredShare) -> Share {
        Share {
            amount: share.amount,
            expires_at: share.until.0,
            epoch: share.epoch,
        }
    }
}

/// The newest grant of shares of the write budget (`admission_control::parts`), sorted by holder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BudgetSharesRecord {
    /// Number of the grant.
    #[serde(rename = "e")]
    epoch: u64,
    /// Shares of this grant.
    #[serde(rename = "p")]
    shares: Vec<(String, StoredShare)>,
    /// Shares of earlier grants that a holder may still use.
    #[serde(rename = "o")]
    earlier_shares: Vec<(String, Vec<StoredShare>)>,
}

impl BudgetSharesRecord {
    /// Converts a grant into its stored form.
    pub fn from_grant(grant: &Grant) -> BudgetSharesRecord {
        let shares = grant.shares.iter();
        let shares = shares.map(|(holder, part)| (holder.clone(), part.into()));
        let earlier = grant.earlier_shares.iter().map(|(holder, parts)| {
            let parts = parts.iter().map(StoredShare::from);
            (holder.clone(), parts.collect())
        });
        BudgetSharesRecord {
            epoch: grant.epoch,
            shares: shares.collect(),
            earlier_shares: earlier.collect(),
        }
    }

    /// Converts the stored form into a grant.
    pub fn into_grant(self) -> Grant {
        let shares = self.shares.into_iter();
        let shares = shares.map(|(holder, share)| (holder, share.into()));
        let earlier = self.earlier_shares.into_iter();
        let earlier = earlier.map(|(holder, shares)| {
            let parts = shares.into_iter().map(Share::from);
            (holder, parts.collect())
        });
        Grant {
            epoch: self.epoch,
            shares: shares.collect(),
            earlier_shares: earlier.collect(),
        }
    }
}
