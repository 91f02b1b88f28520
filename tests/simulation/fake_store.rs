//! An in-memory state service.

#![allow(dead_code)]

use rmpv::Value;
use std::collections::BTreeMap;
use walnuttrestle::protocol::codec::*;
use walnuttrestle::protocol::key_value_api::*;

/// A request that waits for a change.
pub struct Waiting {
    pub ticket: u64,
    pub from: usize,
    pub after: u64,
    pub until: u64,
}

/// What the state service takes.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    pub value_kb: f64,
    pub txn_ops: usize,
    pub write_rps: f64,
}

#[derive(Default)]
pub struct FakeStore {
    /// StoreLimits in force; none: it takes everything.
    pub limits: Option<StoreLimits>,
    /// Transactions refused by limits: for their size, and for their pace.
    pub rejected_for_size: usize,
    pub rejected_for_rate: usize,
    budget: (u64, f64),
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<WatchEvent>,
    leases: BTreeMap<u64, (u64, u64)>,
    revision: u64,
    next_lease: u64,
    pub waiting: Vec<Waiting>,
    pub outage: bool,
    /// Controllers that it refused_controllers; their open watches wait as in an outage.
    pub refused_controllers: Vec<usize>,
    /// How many changes can be looked back on; none: all.
    pub history_limit: Option<usize>,
    /// Watches and reads that were told to read all anew.
    pub compacted_reads: usize,
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, q) = path.split_once('?')?;
    q.split('&')
        .find_map(|p| p.strip_prefix(name).and_then(|r| r.strip_prefix('=')))
}

impl FakeStore {
    /// Whether a key is there.
    pub fn contains_key(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// Puts a value there that no controller can read.
    pub fn corrupt(&mut self, key: &str) {
        self.revision += 1;
        let value = Value::from("spoilt");
        let lease = self.keys.get(key).and_then(|k| k.2);
        self.keys
            .insert(key.into(), (value.clone(), self.revision, lease));
        self.log(Some((key.into(), value)), None);
    }

    /// All keys that begin like this.
    pub fn keys_under(&self, prefix: &str) -> Vec<String> {
        let all = self.keys.keys().filter(|k| k.starts_with(prefix));
        all.cloned().collect()
    }

    /// How many keys begin like this.
    pub fn count_keys_under(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }

    fn log(&mut self, put: Option<(String, Value)>, deleted: Option<String>) {
        let (put, value) = put.map_or((None, None), |(k, v)| (Some(k), Some(v)));
        self.log.push(WatchEvent {
            put,
            value,
            deleted,
            version: self.revision,
        });
    }

    /// Ends leases that are over.
    pub fn expire(&mut self, now: u64) {
        if self.outage {
            return;
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(l, _)| *l)
            .collect();
        for l in over {
            self.leases.remove(&l);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, (_, _, lease))| *lease == Some(l))
                .map(|(k, _)| k.clone())
                .collect();
            for k in keys {
                self.revision += 1;
                self.keys.remove(&k);
                self.log(None, Some(k));
            }
        }
    }

    /// After an outage all leases have their full time again.
    pub fn end_outage(&mut self, now: u64) {
        self.outage = false;
        for (end, life) in self.leases.values_mut() {
            *end = now + *life;
        }
    }

    /// What the limits say to a transaction.
    fn over_limits(&mut self, now: u64, txn: &Transaction) -> Option<u16> {
        let l = self.limits?;
        let long = |c: &Change| match c {
            Change::Put { value, .. } => json_len(value) as f64 > l.value_kb * 1024.0,
            Change::Delete { .. } => false,
        };
        if txn.changes.len() > l.txn_ops
            || txn.conds.len() > l.txn_ops * 4
            || txn.changes.iter().any(long)
        {
            self.rejected_for_size += 1;
            return Some(400);
        }
        let (at, level) = self.budget;
        let level = (level + (now - at) as f64 / 1e6 * l.write_rps).min(l.write_rps);
        let n = txn.changes.len() as f64;
        self.budget = (now, level);
        if level < n {
            self.rejected_for_rate += 1;
            return Some(429);
        }
        self.budget.1 -= n;
        None
    }

    fn events(&self, after: u64) -> WatchResponse {
        WatchResponse {
            revision: self.revision,
            events: self
                .log
                .iter()
                .filter(|e| e.version > after)
                .cloned()
                .collect(),
        }
    }

    /// Whether changes after this revision are no longer known.
    fn forgotten(&self, after: u64) -> bool {
        let missing = self.log.iter().filter(|e| e.version > after).count();
        self.history_limit.is_some_and(|n| missing > n)
    }

    /// Watches that can be answered now.
    pub fn answerable(&mut self, now: u64) -> Vec<(u64, Vec<u8>)> {
        if self.outage {
            return Vec::new();
        }
        let mut out = Vec::new();
        let mut rest = Vec::new();
        for w in std::mem::take(&mut self.waiting) {
            let a = self.events(w.after);
            let refused = self.refused_controllers.contains(&w.from);
            if !refused && (!a.events.is_empty() || w.until <= now) {
                out.push((w.ticket, encode(&a)));
            } else {
                rest.push(w);
            }
        }
        self.waiting = rest;
        out
    }

    /// Handles a request; none: the watch waits under its ticket.
    pub fn handle(
        &mut self,
        now: u64,
        from: usize,
        ticket: u64,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        self.expire(now);
        if self.outage || self.refused_controllers.contains(&from) {
            return Some((503, Vec::new()));
        }
        let route = path.split('?').next().unwrap_or("");
        match (method, route) {
            ("GET", "/watch") => {
                let after = query(path, "after")
                    .and_then(|a| a.parse().ok())
                    .unwrap_or(0);
                let block: u64 = query(path, "block_ms")
                    .and_then(|a| a.parse().ok())
                    .unwrap_or(0);
                if self.forgotten(after) {
                    self.compacted_reads += 1;
                    return Some((410, Vec::new()));
                }
                let a = self.events(after);
                if a.events.is_empty() && block > 0 {
                    self.waiting.push(Waiting {
                        ticket,
                        from,
                        after,
                        until: now + block * 1000,
                    });
                    return None;
                }
                Some((200, encode(&a)))
            }
            ("GET", "/keys") => {
                let after = query(path, "after").unwrap_or("");
                let items: Vec<Item> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.as_str() > after)
                    .take(7)
                    .map(|(k, (v, version, _))| Item {
                        key: k.clone(),
                        value: v.clone(),
                        version: *version,
                    })
                    .collect();
                let more = items
                    .last()
                    .is_some_and(|l| self.keys.keys().any(|k| *k > l.key));
                let revision = self.revision;
                Some((
                    200,
                    encode(&ItemPage {
                        items,
                        more,
                        revision,
                    }),
                ))
            }
            ("POST", "/multi") => {
                let txn: Transaction = decode(body).expect("a transaction");
                if let Some(status) = self.over_limits(now, &txn) {
                    return Some((status, Vec::new()));
                }
                let failed: Vec<String> = txn
                    .conds
                    .iter()
                    .filter(|c| self.keys.get(&c.key).map_or(0, |k| k.1) != c.version)
                    .map(|c| c.key.clone())
                    .collect();
                if !failed.is_empty() {
                    let a = TransactionResponse {
                        revision: self.revision,
                        failed,
                    };
                    return Some((409, encode(&a)));
                }
                for c in &txn.changes {
                    if let Change::Put { lease: Some(l), .. } = c
                        && !self.leases.contains_key(l)
                    {
                        return Some((400, Vec::new()));
                    }
                }
                self.revision += 1;
                for c in txn.changes {
                    match c {
                        Change::Put { put, value, lease } => {
                            self.keys
                                .insert(put.clone(), (value.clone(), self.revision, lease));
                            self.log(Some((put, value)), None);
                        }
                        Change::Delete { key } => {
                            self.keys.remove(&key);
                            self.log(None, Some(key));
                        }
                    }
                }
                let a = TransactionResponse {
                    revision: self.revision,
                    failed: Vec::new(),
                };
                Some((200, encode(&a)))
            }
            ("POST", "/leases") => {
                let r: LeaseRequest = decode(body).expect("a lease request");
                self.next_lease += 1;
                let life = r.ttl_ms * 1000;
                self.leases.insert(self.next_lease, (now + life, life));
                let lease = self.next_lease;
                Some((200, encode(&LeaseResponse { lease })))
            }
            ("POST", renew) => {
                let id: u64 = renew
                    .strip_prefix("/leases/")
                    .and_then(|r| r.strip_suffix("/renew"))
                    .and_then(|r| r.parse().ok())
                    .expect("a renewal");
                match self.leases.get_mut(&id) {
                    Some((end, life)) => {
                        *end = now + *life;
                        Some((200, encode(&LeaseResponse { lease: id })))
                    }
                    None => Some((404, Vec::new())),
                }
            }
            _ => Some((400, Vec::new())),
        }
    }
}
