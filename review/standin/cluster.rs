//! The controllers as separate processes, the links between them, and the users.

use crate::agent::Node;
use crate::cloud::Cloud;
use crate::http::{Client, bind};
use crate::msgpack::{V, map, text};
use crate::store::Store;
use crate::world::{JobInfo, MachineKind, WorkerTimes, World};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

pub struct Site {
    pub zones: [&'static str; 2],
    /// The tables from `[[params.teams]]` on, as the deploy page shows them.
    pub params: &'static str,
    pub workers: WorkerTimes,
    pub machine_kind: MachineKind,
    pub txn_ops: usize,
    pub list_lag_s: f64,
    /// Machines that each zone has.
    pub capacity: usize,
    /// GPUs that a team may use.
    pub gpu_limits: &'static [(&'static str, f64)],
}

pub struct Cluster {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub nodes: Vec<Node>,
    children: Vec<Child>,
    run: Vec<String>,
    folder: PathBuf,
}

/// A job as a user submits it: the fields that differ between the tests.
pub struct Submission<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub team: &'a str,
    pub tasks: u32,
    pub amounts: [f64; 3],
    pub yard: Option<&'a str>,
    pub expected_s: f64,
    pub run_s: f64,
}

impl Cluster {
    /// Starts the stand-ins and three controllers, with the program and arguments of the deploy file.
    pub fn start(site: &Site, record: &str, run: &[String], folder: PathBuf) -> Cluster {
        let world = Arc::new(World::new(
            record,
            site.workers,
            site.machine_kind,
            &site.zones,
            site.gpu_limits,
        ));
        let names: Vec<String> = (0..3).map(|index| format!("kernel-{index}")).collect();
        let zone_of = |index: usize| site.zones[index % 2].to_string();
        let zones: BTreeMap<String, String> = names
            .iter()
            .enumerate()
            .map(|(index, name)| (name.clone(), zone_of(index)))
            .collect();
        let (store, store_addresses) = Store::start(world.clone(), zones, site.txn_ops);
        // The ports are held until their controller starts.
        let mut held: Vec<Vec<TcpListener>> = (0..3)
            .map(|_| vec![free_listener(&world), free_listener(&world)])
            .collect();
        let address = |held: &[Vec<TcpListener>], index: usize, which: usize| {
            held[index][which].local_addr().expect("an address")
        };
        let public: Vec<SocketAddr> = (0..3).map(|index| address(&held, index, 0)).collect();
        let internal: Vec<SocketAddr> = (0..3).map(|index| address(&held, index, 1)).collect();
        let nodes: Vec<Node> = (0..3)
            .map(|index| Node {
                name: names[index].clone(),
                zone: zone_of(index),
                address: public[index],
            })
            .collect();
        let cloud = Cloud::new(world.clone(), nodes.clone(), site.capacity, site.list_lag_s);
        let cloud_address = cloud.serve();
        let mut settings = Vec::new();
        for index in 0..3 {
            let mut lines = format!(
                "member = \"{}\"\nzone = \"{}\"\nserve_on = \"{}\"\ninternal_addr = \"{}\"\n",
                names[index], nodes[index].zone, public[index], internal[index]
            );
            for peer in (0..3).filter(|peer| *peer != index) {
                let address = link(
                    world.clone(),
                    internal[peer],
                    &nodes[index].zone,
                    &nodes[peer].zone,
                );
                lines += &format!(
                    "\n[[siblings]]\nmember = \"{}\"\nzone = \"{}\"\naddress = \"{address}\"\n",
                    names[peer], nodes[peer].zone
                );
            }
            lines += &format!(
                "\n[external]\ncloud = \"{cloud_address}\"\nstate = \"{}\"\n\n{}",
                store_addresses[index], site.params
            );
            let path = folder.join(format!("kernel-{index}.toml"));
            std::fs::write(&path, lines).expect("settings can be written");
            settings.push(path);
        }
        let mut cluster = Cluster {
            world,
            store,
            cloud,
            nodes,
            children: Vec::new(),
            run: run.to_vec(),
            folder,
        };
        for path in settings {
            held.remove(0);
            cluster.spawn(path);
            thread::sleep(Duration::from_millis(700));
        }
        cluster
    }

    /// Whether all controllers run.
    pub fn is_running(&mut self) -> bool {
        self.children
            .iter_mut()
            .all(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn spawn(&mut self, settings: PathBuf) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))
            .expect("a log file");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&settings)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        // Read by run.sh, which ends what is left if the test itself is killed.
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"))
            .expect("the list of processes");
        let _ = writeln!(pids, "{}", child.id());
        self.children.push(child);
    }

    /// Ends all controllers with no signal that they could handle, and starts them again with the same settings.
    pub fn crash_all(&mut self, back_after: Duration) {
        self.world.log("TROUBLE: all controllers crash");
        self.stop();
        thread::sleep(back_after);
        self.world.log("all controllers are back");
        for index in 0..3 {
            self.spawn(self.folder.join(format!("kernel-{index}.toml")));
        }
    }

    /// Index of the leader according to the state service.
    pub fn leader(&self) -> Option<usize> {
        let (name, _) = self.store.leader()?;
        self.nodes.iter().position(|node| node.name == name)
    }

    pub fn set_zones_cut(&self, cut: bool) {
        let what = if cut {
            "the zones cannot reach each other"
        } else {
            "the zones reach each other again"
        };
        self.world.log(&format!("TROUBLE: {what}"));
        self.world.zones_cut.store(cut, Ordering::SeqCst);
    }

    /// Submits a job as a user does: a retry after 1 s at the next node, for 60 s. Returns whether it was accepted.
    pub fn submit(&self, job: &Submission<'_>) -> bool {
        let info = JobInfo {
            team: job.team.to_string(),
            tasks: job.tasks,
            cpus: job.amounts[0],
            gpus: job.amounts[1],
            memory_gb: job.amounts[2],
            run_s: job.run_s,
        };
        self.world
            .jobs
            .lock()
            .unwrap()
            .insert(job.id.to_string(), info);
        let body = map(vec![
            ("id", text(job.id)),
            ("docket", text(job.class)),
            ("crew", text(job.team)),
            ("shape", text("sweep")),
            ("rank", text("standard")),
            ("sheets", V::Uint(u64::from(job.tasks))),
            ("cpus", V::Float(job.amounts[0])),
            ("cards", V::Float(job.amounts[1])),
            ("memory_gb", V::Float(job.amounts[2])),
            ("plate", text("img-07")),
            ("size_gb", V::Float(0.1)),
            ("presses", V::Nil),
            ("yard", job.yard.map_or(V::Nil, text)),
            ("together", V::Bool(false)),
            ("scatter", V::Bool(false)),
            ("loaners", V::Bool(false)),
            ("expected_s", V::Float(job.expected_s)),
            ("proof_s", V::Float(0.0)),
            ("stash_s", V::Float(0.0)),
            ("due_s", V::Nil),
        ]);
        for attempt in 0..55 {
            let node = &self.nodes[attempt % 3];
            let answer = Client::default().call(
                node.address,
                "POST",
                "/submissions",
                Some(&body),
                Duration::from_secs(5),
            );
            let status = answer.map_or(0, |(status, _)| status);
            self.world.log(&format!(
                "user submits {} to {}: {status}",
                job.id, node.name
            ));
            if matches!(status, 200 | 201) {
                return true;
            }
            thread::sleep(Duration::from_secs(1));
        }
        false
    }

    /// Asks about a job. None: no answer with 200.
    pub fn ask(&self, controller: usize, id: &str) -> Option<V> {
        let node = &self.nodes[controller];
        let path = format!("/submissions/{id}");
        let answer =
            Client::default().call(node.address, "GET", &path, None, Duration::from_secs(2));
        let (status, body) = answer?;
        let field = |name: &str| {
            body.get(name)
                .map_or("-".to_string(), |value| format!("{value:?}"))
        };
        self.world.log(&format!(
            "user asks {} about {id}: {status} {} done {} running {}",
            node.name,
            field("status"),
            field("done"),
            field("running"),
        ));
        (status == 200).then_some(body)
    }

    /// Cancels a job as a user does; returns the status in the answer.
    pub fn cancel(&self, controller: usize, id: &str) -> Option<String> {
        let node = &self.nodes[controller];
        let path = format!("/submissions/{id}/cancel");
        let answer =
            Client::default().call(node.address, "POST", &path, None, Duration::from_secs(5));
        let (status, body) = answer?;
        let state = body.str_of("status").filter(|_| status == 200);
        self.world.log(&format!(
            "user cancels {id} at {}: {status} {state:?}",
            node.name
        ));
        state
    }

    pub fn stop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
        let _ = std::fs::remove_file(self.folder.join("pids"));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A free port, below the range from which the system takes the ports of outgoing connections.
fn free_listener(world: &World) -> TcpListener {
    loop {
        let port = 12_000 + (world.random() * 18_000.0) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener;
        }
    }
}

/// Waits until the condition holds; returns whether it did.
pub fn wait_until(timeout_s: f64, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(timeout_s);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}

/// A proxy for the calls of a controller to a peer. In a cut it passes nothing on; connections hang.
fn link(world: Arc<World>, to: SocketAddr, from_zone: &str, to_zone: &str) -> SocketAddr {
    let (listener, address): (TcpListener, SocketAddr) = bind();
    let (from_zone, to_zone) = (from_zone.to_string(), to_zone.to_string());
    thread::spawn(move || {
        for incoming in listener.incoming().flatten() {
            let (world, from_zone, to_zone) = (world.clone(), from_zone.clone(), to_zone.clone());
            thread::spawn(move || {
                if !wait_until(60.0, || !world.is_cut(&from_zone, &to_zone)) {
                    return;
                }
                let Ok(outgoing) = TcpStream::connect(to) else {
                    return;
                };
                let (Ok(back_in), Ok(back_out)) = (incoming.try_clone(), outgoing.try_clone())
                else {
                    return;
                };
                let (back_world, a, b) = (world.clone(), from_zone.clone(), to_zone.clone());
                thread::spawn(move || pass_on(back_out, back_in, &back_world, &a, &b));
                pass_on(incoming, outgoing, &world, &from_zone, &to_zone);
            });
        }
    });
    address
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, world: &World, from_zone: &str, to_zone: &str) {
    let _ = to.set_nodelay(true);
    let mut chunk = [0; 16384];
    while let Ok(count) = from.read(&mut chunk) {
        if count == 0 {
            break;
        }
        if world.is_cut(from_zone, to_zone) {
            // What a cut has swallowed breaks the connection: it stays silent, and ends after the cut.
            wait_until(60.0, || !world.is_cut(from_zone, to_zone));
            break;
        }
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
