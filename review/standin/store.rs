//! Stand-in of the state service. Each controller has a port of its own, so that one of them can be refused.

use crate::http::{Answer, Request, bind, serve};
use crate::msgpack::{V, map, text};
use crate::world::World;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEPT_CHANGES: usize = 10_000;
const LATENCY: Duration = Duration::from_millis(3);

struct Entry {
    value: V,
    stamp: u64,
    tenure: Option<u64>,
}

#[derive(Default)]
struct Inner {
    edition: u64,
    keys: BTreeMap<String, Entry>,
    changes: VecDeque<(u64, String, Option<V>)>,
    tenures: BTreeMap<u64, (Instant, Duration)>,
    last_tenure: u64,
    /// Controllers that get 503.
    refused: Vec<bool>,
    /// Share of the transactions that are carried out at once and get no answer.
    lost_share: f64,
    lost_answers: u64,
    /// All controllers get 503.
    outage: bool,
    /// Node, incarnation and token of the leader.
    leader: Option<(String, u64)>,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    world: Arc<World>,
    zones: BTreeMap<String, String>,
    txn_ops: usize,
}

impl Store {
    /// Starts the service; returns it with its address for each controller. `zones`: zone of each controller.
    pub fn start(
        world: Arc<World>,
        zones: BTreeMap<String, String>,
        txn_ops: usize,
    ) -> (Arc<Store>, Vec<SocketAddr>) {
        let count = zones.len();
        let inner = Inner {
            refused: vec![false; count],
            ..Inner::default()
        };
        let store = Arc::new(Store {
            inner: Mutex::new(inner),
            changed: Condvar::new(),
            world,
            zones,
            txn_ops,
        });
        let mut addresses = Vec::new();
        for controller in 0..count {
            let (listener, address) = bind();
            let store = store.clone();
            serve(
                listener,
                Arc::new(move |request| store.handle(controller, request)),
            );
            addresses.push(address);
        }
        let expiry = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiry.expire();
            }
        });
        (store, addresses)
    }

    pub fn leader(&self) -> Option<(String, u64)> {
        self.inner.lock().unwrap().leader.clone()
    }

    pub fn set_lost_share(&self, share: f64) {
        self.inner.lock().unwrap().lost_share = share;
    }

    pub fn lost_answers(&self) -> u64 {
        self.inner.lock().unwrap().lost_answers
    }

    pub fn set_refused(&self, controller: usize, refused: bool) {
        self.inner.lock().unwrap().refused[controller] = refused;
        self.changed.notify_all();
    }

    pub fn begin_outage(&self) {
        self.inner.lock().unwrap().outage = true;
    }

    /// Ends the outage: everybody is served, and all leases have their full time again.
    pub fn end_outage(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.outage = false;
        inner.refused.fill(false);
        let now = Instant::now();
        for (end, life) in inner.tenures.values_mut() {
            *end = now + *life;
        }
        drop(inner);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.outage {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = inner
            .tenures
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(tenure, _)| *tenure)
            .collect();
        for tenure in ended {
            inner.end_tenure(tenure);
            self.changed.notify_all();
        }
    }

    fn handle(&self, controller: usize, request: Request) -> Answer {
        thread::sleep(LATENCY);
        let path = request.path.clone();
        let parts: Vec<&str> = path.trim_start_matches('/').splitn(2, '/').collect();
        if self.inner.lock().unwrap().is_refused(controller) {
            return Answer::Reply(503, map(vec![("error", text("trouble"))]));
        }
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["watch"]) => self.watch(controller, &request),
            ("GET", ["keys"]) => self.list(&request),
            ("GET", ["keys", key]) => self.read(key),
            ("POST", ["multi"]) => self.multi(controller, &request.body),
            ("POST", ["leases"]) => self.new_tenure(&request.body),
            ("POST", ["leases", rest]) => self.renew(rest.trim_end_matches("/renew")),
            ("DELETE", ["leases", tenure]) => {
                self.inner
                    .lock()
                    .unwrap()
                    .end_tenure(tenure.parse().unwrap_or(0));
                Answer::Reply(200, map(vec![]))
            }
            _ => Answer::Reply(400, map(vec![])),
        }
    }

    fn watch(&self, controller: usize, request: &Request) -> Answer {
        let number = |name: &str| {
            request
                .param(name)
                .and_then(|value| value.parse::<u64>().ok())
        };
        let under = request.param("under").unwrap_or("");
        let after = number("after").unwrap_or(0);
        let end =
            Instant::now() + Duration::from_millis(number("block_ms").unwrap_or(0).min(60_000));
        let mut inner = self.inner.lock().unwrap();
        loop {
            // While this controller is refused, its open watches wait.
            if !inner.is_refused(controller) {
                let oldest = inner
                    .changes
                    .front()
                    .map_or(inner.edition + 1, |change| change.0);
                if inner.changes.len() >= KEPT_CHANGES && after + 1 < oldest {
                    return Answer::Reply(410, map(vec![]));
                }
                let news: Vec<V> = inner
                    .changes
                    .iter()
                    .filter(|(stamp, key, _)| *stamp > after && key.starts_with(under))
                    .map(|(stamp, key, value)| match value {
                        Some(value) => map(vec![
                            ("put", text(key)),
                            ("value", value.clone()),
                            ("stamp", V::Uint(*stamp)),
                        ]),
                        None => map(vec![("drop", text(key)), ("stamp", V::Uint(*stamp))]),
                    })
                    .collect();
                if !news.is_empty() || Instant::now() >= end {
                    let edition = V::Uint(inner.edition);
                    return Answer::Reply(
                        200,
                        map(vec![("edition", edition), ("news", V::List(news))]),
                    );
                }
            }
            let wait = end
                .saturating_duration_since(Instant::now())
                .clamp(Duration::from_millis(5), Duration::from_millis(500));
            inner = self.changed.wait_timeout(inner, wait).unwrap().0;
        }
    }

    fn list(&self, request: &Request) -> Answer {
        let under = request.param("under").unwrap_or("");
        let after = request.param("after").unwrap_or("");
        let most = request
            .param("most")
            .and_then(|most| most.parse().ok())
            .unwrap_or(1000)
            .min(1000);
        let inner = self.inner.lock().unwrap();
        let mut found = inner
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(under) && key.as_str() > after);
        let items: Vec<V> = found
            .by_ref()
            .take(most)
            .map(|(key, entry)| {
                map(vec![
                    ("k", text(key)),
                    ("value", entry.value.clone()),
                    ("stamp", V::Uint(entry.stamp)),
                ])
            })
            .collect();
        let more = found.next().is_some();
        let fields = vec![
            ("items", V::List(items)),
            ("more", V::Bool(more)),
            ("edition", V::Uint(inner.edition)),
        ];
        Answer::Reply(200, map(fields))
    }

    fn read(&self, key: &str) -> Answer {
        let inner = self.inner.lock().unwrap();
        match inner.keys.get(key) {
            Some(entry) => {
                let fields = vec![
                    ("k", text(key)),
                    ("value", entry.value.clone()),
                    ("stamp", V::Uint(entry.stamp)),
                ];
                Answer::Reply(200, map(fields))
            }
            None => Answer::Reply(404, map(vec![("edition", V::Uint(inner.edition))])),
        }
    }

    fn multi(&self, controller: usize, body: &V) -> Answer {
        let conditions = body.get("if").map_or(&[][..], V::as_list);
        let changes = body.get("then").map_or(&[][..], V::as_list);
        if changes.len() > self.txn_ops || conditions.len() > 4 * self.txn_ops {
            return Answer::Reply(400, map(vec![("error", text("too large"))]));
        }
        let mut inner = self.inner.lock().unwrap();
        let failed: Vec<V> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition.str_of("k")?;
                let stamp = inner.keys.get(&key).map_or(0, |entry| entry.stamp);
                (condition.u64_of("stamp") != Some(stamp)).then(|| text(&key))
            })
            .collect();
        let lost = self.world.random() < inner.lost_share;
        let described = describe(changes);
        for change in changes {
            let tenure = change.u64_of("tenure");
            if change.get("put").is_some()
                && tenure.is_some_and(|tenure| !inner.tenures.contains_key(&tenure))
            {
                return Answer::Reply(400, map(vec![("error", text("no such lease"))]));
            }
        }
        if !failed.is_empty() {
            self.world.log(&format!(
                "state: kernel-{controller} writes {described}: 409 {failed:?}"
            ));
            let edition = V::Uint(inner.edition);
            return Answer::Reply(
                409,
                map(vec![("failed", V::List(failed)), ("edition", edition)]),
            );
        }
        if !changes.is_empty() {
            inner.edition += 1;
        }
        for change in changes {
            match (change.str_of("put"), change.str_of("drop")) {
                (Some(key), _) => {
                    let value = change.get("value").cloned().unwrap_or(V::Nil);
                    self.note_leader(&mut inner, &key, &value);
                    inner.put(&key, value, change.u64_of("tenure"));
                }
                (_, Some(key)) => inner.remove(&key),
                _ => {}
            }
        }
        self.changed.notify_all();
        let edition = inner.edition;
        if lost && !changes.is_empty() {
            inner.lost_answers += 1;
            self.world.log(&format!(
                "state: kernel-{controller} writes {described}: edition {edition}, ANSWER LOST"
            ));
            return Answer::Silence;
        }
        self.world.log(&format!(
            "state: kernel-{controller} writes {described}: edition {edition}"
        ));
        Answer::Reply(200, map(vec![("edition", V::Uint(edition))]))
    }

    fn note_leader(&self, inner: &mut Inner, key: &str, value: &V) {
        if key != "wt/lead" {
            return;
        }
        if let (Some(node), Some(token)) = (value.str_of("node"), value.u64_of("term")) {
            let zone = self.zones.get(&node).cloned().unwrap_or_default();
            self.world
                .log(&format!("state: {node} leads with token {token}"));
            self.world.zone_of_token.lock().unwrap().insert(token, zone);
            inner.leader = Some((node, token));
        }
    }

    fn new_tenure(&self, body: &V) -> Answer {
        let Some(life) = body
            .u64_of("life_ms")
            .filter(|life| (100..=600_000).contains(life))
        else {
            return Answer::Reply(400, map(vec![]));
        };
        let mut inner = self.inner.lock().unwrap();
        inner.last_tenure += 1;
        let tenure = inner.last_tenure;
        let life = Duration::from_millis(life);
        inner.tenures.insert(tenure, (Instant::now() + life, life));
        Answer::Reply(200, map(vec![("tenure", V::Uint(tenure))]))
    }

    fn renew(&self, tenure: &str) -> Answer {
        let tenure = tenure.parse().unwrap_or(0);
        match self.inner.lock().unwrap().tenures.get_mut(&tenure) {
            Some((end, life)) => {
                *end = Instant::now() + *life;
                Answer::Reply(200, map(vec![("tenure", V::Uint(tenure))]))
            }
            None => Answer::Reply(404, map(vec![])),
        }
    }
}

impl Inner {
    fn is_refused(&self, controller: usize) -> bool {
        self.outage || self.refused[controller]
    }
    fn put(&mut self, key: &str, value: V, tenure: Option<u64>) {
        let stamp = self.edition;
        self.changes
            .push_back((stamp, key.to_string(), Some(value.clone())));
        self.keys.insert(
            key.to_string(),
            Entry {
                value,
                stamp,
                tenure,
            },
        );
        self.trim();
    }
    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.changes
                .push_back((self.edition, key.to_string(), None));
            self.trim();
        }
    }
    fn trim(&mut self) {
        while self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }
    fn end_tenure(&mut self, tenure: u64) {
        self.tenures.remove(&tenure);
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.tenure == Some(tenure))
            .map(|(key, _)| key.clone())
            .collect();
        for key in attached {
            self.edition += 1;
            self.remove(&key);
        }
    }
}

/// The keys of a transaction, for the record.
fn describe(changes: &[V]) -> String {
    let keys = changes.iter().filter_map(|change| {
        let put = change.str_of("put");
        put.or_else(|| Some(format!("drop {}", change.str_of("drop")?)))
    });
    keys.collect::<Vec<_>>().join(" ")
}
