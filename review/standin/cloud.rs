//! Stand-in of the cloud.

use crate::agent::{Agent, Node};
use crate::http::{Answer, Request, bind, serve};
use crate::msgpack::{V, map, text};
use crate::world::World;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

struct Machine {
    zone: String,
    rented_at: f64,
    agent: Option<Arc<Agent>>,
}

#[derive(Default)]
struct Inner {
    machines: BTreeMap<String, Machine>,
    hires: BTreeMap<String, Vec<String>>,
    created: usize,
}

pub struct Cloud {
    inner: Mutex<Inner>,
    world: Arc<World>,
    nodes: Vec<Node>,
    /// Machines that each zone has.
    capacity: usize,
    list_lag_s: f64,
}

impl Cloud {
    pub fn new(
        world: Arc<World>,
        nodes: Vec<Node>,
        capacity: usize,
        list_lag_s: f64,
    ) -> Arc<Cloud> {
        Arc::new(Cloud {
            inner: Mutex::default(),
            world,
            nodes,
            capacity,
            list_lag_s,
        })
    }

    pub fn serve(self: &Arc<Cloud>) -> SocketAddr {
        let (listener, address) = bind();
        let cloud = self.clone();
        serve(listener, Arc::new(move |request| cloud.handle(request)));
        address
    }

    /// Adds a machine that has been up for long.
    pub fn add_machine(&self, zone: &str) {
        let mut inner = self.inner.lock().unwrap();
        let name = inner.new_name();
        let agent = Agent::start(self.world.clone(), &name, zone, self.nodes.clone());
        let machine = Machine {
            zone: zone.to_string(),
            rented_at: -600.0,
            agent: Some(agent),
        };
        inner.machines.insert(name, machine);
    }

    pub fn agents(&self) -> Vec<Arc<Agent>> {
        let inner = self.inner.lock().unwrap();
        inner
            .machines
            .values()
            .filter_map(|machine| machine.agent.clone())
            .collect()
    }

    fn handle(self: &Arc<Cloud>, request: Request) -> Answer {
        thread::sleep(Duration::from_millis(30));
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => self.flavors(),
            ("GET", "/machines") => self.list(&request),
            ("POST", "/machines") => self.rent(&request.body),
            ("POST", "/machines/release") => self.release(&request.body),
            _ => Answer::Reply(400, map(vec![])),
        }
    }

    fn flavors(&self) -> Answer {
        let kind = self.world.machine_kind;
        let press = map(vec![
            ("name", text(kind.name)),
            ("cpus", V::Float(kind.cpus)),
            ("cards", V::Float(kind.gpus)),
            ("memory_gb", V::Float(kind.memory_gb)),
            ("local_gb", V::Float(150.0)),
            ("fetch_gb_per_s", V::Float(0.4)),
            ("price", V::Float(8.77)),
            ("low_price", V::Float(3.76)),
            ("startup_s", V::Float(50.0)),
            (
                "yards",
                V::List(self.world.zones.iter().map(|zone| text(zone)).collect()),
            ),
        ]);
        Answer::Reply(200, map(vec![("presses", V::List(vec![press]))]))
    }

    fn list(&self, request: &Request) -> Answer {
        let after = request.param("after").unwrap_or("");
        let most = request
            .param("most")
            .and_then(|most| most.parse().ok())
            .unwrap_or(500);
        let described_at = self.world.now() - self.list_lag_s;
        let inner = self.inner.lock().unwrap();
        let mut listed = inner
            .machines
            .iter()
            .filter(|(name, machine)| name.as_str() > after && machine.rented_at <= described_at);
        let kernels = listed
            .by_ref()
            .take(most)
            .map(|(name, machine)| {
                let up = machine.agent.is_some();
                map(vec![
                    ("id", text(name)),
                    ("press", text(self.world.machine_kind.name)),
                    ("yard", text(&machine.zone)),
                    ("loaners", V::Bool(false)),
                    ("status", text(if up { "running" } else { "booting" })),
                    ("held_s", V::Float(described_at - machine.rented_at)),
                ])
            })
            .collect();
        let more = listed.next().is_some();
        Answer::Reply(
            200,
            map(vec![("kernels", V::List(kernels)), ("more", V::Bool(more))]),
        )
    }

    fn rent(self: &Arc<Cloud>, body: &V) -> Answer {
        let (Some(hire), Some(zone), Some(count)) = (
            body.str_of("hire"),
            body.str_of("yard"),
            body.u64_of("count"),
        ) else {
            return Answer::Reply(400, map(vec![]));
        };
        let spot = body.get("loaners").and_then(V::as_bool) == Some(true);
        let mut inner = self.inner.lock().unwrap();
        if !inner.hires.contains_key(&hire) {
            let taken = inner
                .machines
                .values()
                .filter(|machine| machine.zone == zone)
                .count();
            let granted = self
                .capacity
                .saturating_sub(taken)
                .min(count.min(50) as usize);
            if spot || granted == 0 {
                return Answer::Reply(503, map(vec![("error", text("no capacity"))]));
            }
            let mut names = Vec::new();
            for _ in 0..granted {
                let name = inner.new_name();
                let rented_at = self.world.now();
                inner.machines.insert(
                    name.clone(),
                    Machine {
                        zone: zone.clone(),
                        rented_at,
                        agent: None,
                    },
                );
                self.world.log(&format!("cloud: {name} rented in {zone}"));
                self.clone().boot(name.clone(), zone.clone());
                names.push(name);
            }
            inner.hires.insert(hire.clone(), names);
        }
        let names = inner.hires[&hire].iter().map(|name| text(name)).collect();
        Answer::Reply(200, map(vec![("kernels", V::List(names))]))
    }

    /// The machine is up within a second or two.
    fn boot(self: Arc<Cloud>, name: String, zone: String) {
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(1.0 + self.world.random()));
            let mut inner = self.inner.lock().unwrap();
            if let Some(machine) = inner.machines.get_mut(&name) {
                machine.agent = Some(Agent::start(
                    self.world.clone(),
                    &name,
                    &zone,
                    self.nodes.clone(),
                ));
            }
        });
    }

    fn release(&self, body: &V) -> Answer {
        for name in body
            .get("kernels")
            .map_or(&[][..], V::as_list)
            .iter()
            .filter_map(V::as_str)
        {
            let removed = self.inner.lock().unwrap().machines.remove(name);
            if let Some(machine) = removed {
                if let Some(agent) = machine.agent {
                    agent.destroy();
                }
                self.world.log(&format!("cloud: {name} deleted"));
            }
        }
        Answer::Reply(200, map(vec![]))
    }
}

impl Inner {
    fn new_name(&mut self) -> String {
        self.created += 1;
        format!("n-{:06}", self.created)
    }
}
