//! An in-memory key-value store with transactions, watches, leases and limits according to the store protocol.

// Each test target uses only some of the items.
#![allow(dead_code)]

use rmpv::Value;
use std::collections::BTreeMap;
use walnuttrestle::protocol::codec::*;
use walnuttrestle::protocol::key_value_api::*;

/// Items per page of a listing.
const PAGE_SIZE: usize = 7;
/// The limit on conditions in a transaction is this multiple of the limit on changes.
const CONDITIONS_PER_CHANGE: usize = 4;

/// Status and body of an answer.
type Answer = (u16, Vec<u8>);

/// A watch that waits for a change.
pub struct OpenWatch {
    pub ticket: u64,
    /// The controller that watches.
    pub controller: usize,
    /// The watch is answered with the changes after this revision.
    pub after: u64,
    /// When the watch is answered even if there is no change.
    pub until: u64,
}

/// Limits on transactions.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Changes per second.
    pub write_rps: f64,
}

/// Token bucket that limits the rate of changes.
#[derive(Default)]
struct TokenBucket {
    updated_at: u64,
    tokens: f64,
}

struct StoredValue {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct Lease {
    expires_at: u64,
    duration: u64,
}

/// The store. Times are in microseconds.
#[derive(Default)]
pub struct FakeStore {
    /// Limits on transactions; `None` if there are none.
    pub limits: Option<StoreLimits>,
    /// Transactions rejected for their size.
    pub rejected_for_size: usize,
    /// Transactions rejected for their rate.
    pub rejected_for_rate: usize,
    write_bucket: TokenBucket,
    keys: BTreeMap<String, StoredValue>,
    log: Vec<WatchEvent>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    last_lease: u64,
    pub watches: Vec<OpenWatch>,
    /// Requests are refused with status 503, watches are not answered, and leases do not expire.
    pub outage: bool,
    /// Controllers whose requests are refused with status 503; their open watches are not answered.
    pub refused_controllers: Vec<usize>,
    /// Number of changes that the store keeps for watches; `None` if it keeps all.
    pub history_limit: Option<usize>,
    /// Number of watches refused because their revision was compacted.
    pub compacted_reads: usize,
}

fn query_value<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

fn query_number(path: &str, name: &str) -> u64 {
    query_value(path, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

impl FakeStore {
    /// Whether a key exists.
    pub fn contains_key(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// Replaces a value by one that controllers cannot decode.
    pub fn corrupt(&mut self, key: &str) {
        self.revision += 1;
        let lease = self.keys.get(key).and_then(|stored| stored.lease);
        self.put(key.into(), Value::from("spoilt"), lease);
    }

    /// All keys with a prefix.
    pub fn keys_under(&self, prefix: &str) -> Vec<String> {
        let keys = self.keys.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Number of keys with a prefix.
    pub fn count_keys_under(&self, prefix: &str) -> usize {
        let keys = self.keys.keys();
        keys.filter(|key| key.starts_with(prefix)).count()
    }

    fn put(&mut self, key: String, value: Value, lease: Option<u64>) {
        let stored = StoredValue {
            value: value.clone(),
            version: self.revision,
            lease,
        };
        self.keys.insert(key.clone(), stored);
        self.log.push(WatchEvent {
            put: Some(key),
            value: Some(value),
            deleted: None,
            version: self.revision,
        });
    }

    fn delete(&mut self, key: String) {
        self.keys.remove(&key);
        self.log.push(WatchEvent {
            put: None,
            value: None,
            deleted: Some(key),
            version: self.revision,
        });
    }

    /// Expires leases and deletes their keys.
    pub fn expire(&mut self, now: u64) {
        if self.outage {
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, stored)| stored.lease == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                self.delete(key);
            }
        }
    }

    /// Ends an outage and renews all leases for their full duration.
    pub fn end_outage(&mut self, now: u64) {
        self.outage = false;
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.duration;
        }
    }

    /// Checks a transaction against the limits. Returns the status to reject it with, or `None` if it is within them.
    fn check_limits(&mut self, now: u64, transaction: &Transaction) -> Option<u16> {
        let limits = self.limits?;
        let is_too_large = |change: &Change| match change {
            Change::Put { value, .. } => json_len(value) as f64 > limits.value_kb * 1024.0,
            Change::Delete { .. } => false,
        };
        if transaction.changes.len() > limits.txn_ops
            || transaction.conditions.len() > limits.txn_ops * CONDITIONS_PER_CHANGE
            || transaction.changes.iter().any(is_too_large)
        {
            self.rejected_for_size += 1;
            return Some(400);
        }
        let elapsed_s = (now - self.write_bucket.updated_at) as f64 / 1e6;
        let refilled = self.write_bucket.tokens + elapsed_s * limits.write_rps;
        self.write_bucket.tokens = refilled.min(limits.write_rps);
        self.write_bucket.updated_at = now;
        let needed = transaction.changes.len() as f64;
        if self.write_bucket.tokens < needed {
            self.rejected_for_rate += 1;
            return Some(429);
        }
        self.write_bucket.tokens -= needed;
        None
    }

    fn changes_after(&self, revision: u64) -> WatchResponse {
        let changes = self.log.iter();
        WatchResponse {
            revision: self.revision,
            events: changes
                .filter(|event| event.version > revision)
                .cloned()
                .collect(),
        }
    }

    /// Whether some of the changes after a revision have been compacted.
    fn is_compacted(&self, revision: u64) -> bool {
        let changes = self.log.iter();
        let missing = changes.filter(|event| event.version > revision).count();
        self.history_limit.is_some_and(|limit| missing > limit)
    }

    /// Removes the watches that can be answered now; returns their tickets and the bodies of the answers.
    pub fn take_ready_watches(&mut self, now: u64) -> Vec<(u64, Vec<u8>)> {
        if self.outage {
            return Vec::new();
        }
        let mut answers = Vec::new();
        let mut open = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let response = self.changes_after(watch.after);
            let refused = self.refused_controllers.contains(&watch.controller);
            if !refused && (!response.events.is_empty() || watch.until <= now) {
                answers.push((watch.ticket, encode(&response)));
            } else {
                open.push(watch);
            }
        }
        self.watches = open;
        answers
    }

    /// Handles a request. Returns `None` for a watch that stays open under `ticket`.
    pub fn handle(
        &mut self,
        now: u64,
        controller: usize,
        ticket: u64,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<Answer> {
        self.expire(now);
        if self.outage || self.refused_controllers.contains(&controller) {
            return Some((503, Vec::new()));
        }
        let route = path.split('?').next().unwrap_or("");
        match (method, route) {
            ("GET", "/watch") => self.watch(now, controller, ticket, path),
            ("GET", "/keys") => Some(self.list(path)),
            ("POST", "/multi") => {
                let transaction = decode(body).expect("body is a transaction");
                Some(self.commit(now, transaction))
            }
            ("POST", "/leases") => {
                let request = decode(body).expect("body is a lease request");
                Some(self.grant_lease(now, &request))
            }
            ("POST", renewal) => Some(self.renew_lease(now, renewal)),
            _ => Some((400, Vec::new())),
        }
    }

    fn watch(&mut self, now: u64, controller: usize, ticket: u64, path: &str) -> Option<Answer> {
        let after = query_number(path, "after");
        let block_ms = query_number(path, "block_ms");
        if self.is_compacted(after) {
            self.compacted_reads += 1;
            return Some((410, Vec::new()));
        }
        let response = self.changes_after(after);
        if response.events.is_empty() && block_ms > 0 {
            self.watches.push(OpenWatch {
                ticket,
                controller,
                after,
                until: now + block_ms * 1000,
            });
            return None;
        }
        Some((200, encode(&response)))
    }

    fn list(&self, path: &str) -> Answer {
        let after = query_value(path, "after").unwrap_or("");
        let mut rest = self.keys.iter().filter(|(key, _)| key.as_str() > after);
        let items: Vec<Item> = rest
            .by_ref()
            .take(PAGE_SIZE)
            .map(|(key, stored)| Item {
                key: key.clone(),
                value: stored.value.clone(),
                version: stored.version,
            })
            .collect();
        let page = ItemPage {
            items,
            has_more: rest.next().is_some(),
            revision: self.revision,
        };
        (200, encode(&page))
    }

    fn commit(&mut self, now: u64, transaction: Transaction) -> Answer {
        if let Some(status) = self.check_limits(now, &transaction) {
            return (status, Vec::new());
        }
        let version_of = |key: &str| self.keys.get(key).map_or(0, |stored| stored.version);
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|condition| version_of(&condition.key) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            let revision = self.revision;
            return (409, encode(&TransactionResponse { revision, failed }));
        }
        let has_missing_lease = |change: &Change| match change {
            Change::Put { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Change::Delete { .. } => false,
        };
        if transaction.changes.iter().any(has_missing_lease) {
            return (400, Vec::new());
        }
        self.revision += 1;
        for change in transaction.changes {
            match change {
                Change::Put { key, value, lease } => self.put(key, value, lease),
                Change::Delete { key } => self.delete(key),
            }
        }
        let response = TransactionResponse {
            revision: self.revision,
            failed,
        };
        (200, encode(&response))
    }

    fn grant_lease(&mut self, now: u64, request: &LeaseRequest) -> Answer {
        self.last_lease += 1;
        let duration = request.ttl_ms * 1000;
        let lease = Lease {
            expires_at: now + duration,
            duration,
        };
        self.leases.insert(self.last_lease, lease);
        let lease = self.last_lease;
        (200, encode(&LeaseResponse { lease }))
    }

    fn renew_lease(&mut self, now: u64, path: &str) -> Answer {
        let lease: u64 = path
            .strip_prefix("/leases/")
            .and_then(|rest| rest.strip_suffix("/renew"))
            .and_then(|id| id.parse().ok())
            .expect("path is /leases/ID/renew");
        let Some(renewed) = self.leases.get_mut(&lease) else {
            return (404, Vec::new());
        };
        renewed.expires_at = now + renewed.duration;
        (200, encode(&LeaseResponse { lease }))
    }
}
