//! Plays one case of the review: `rig CASE FOLDER`. Exits with 1 if a rule was broken, 0 if all held, 2 if the case could
//! not run. Writes `record.txt` into the folder. With `TROUBLE=0` the disruption is left out.

mod cases;
mod wire;
mod world;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;
/// The case ends after this many seconds, whatever has happened.
const MOST_S: u64 = 118;

struct Controller {
    child: Option<Child>,
    settings: PathBuf,
    starts: usize,
}

/// The controllers: processes of the project, started with the command of the deploy file.
pub struct Rig {
    pub shared: Shared,
    controllers: Arc<Mutex<Vec<Controller>>>,
    command: Vec<String>,
    folder: PathBuf,
    pub trouble: bool,
}

/// Free ports for the controllers, below those that the system gives to outgoing connections: such a connection could
/// otherwise take the port before the controller binds it.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    let mut found = Vec::new();
    let mut port = 10_000 + (std::process::id() as u16 % 1_000) * 20;
    while found.len() < count {
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if std::net::TcpListener::bind(addr).is_ok() {
            found.push(addr);
        }
        port = if port >= 31_000 { 10_000 } else { port + 1 };
    }
    found
}

fn deploy_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/service.toml").expect("deploy/service.toml; start from the repository's root");
    let line = text.lines().find_map(|l| l.strip_prefix("run = ")).expect("run");
    line.trim().trim_matches('"').split(' ').map(str::to_string).collect()
}

fn settings(site: &Site, index: usize, public: &[SocketAddr], internal: SocketAddr, links: &[SocketAddr], store: SocketAddr, cloud: SocketAddr) -> String {
    let mut text = format!(
        "member = \"kernel-{index}\"\nzone = \"{}\"\nserve_on = \"{}\"\ninternal_addr = \"{}\"\n",
        site.controllers[index], public[index], internal
    );
    for peer in (0..public.len()).filter(|p| *p != index) {
        text += &format!(
            "\n[[siblings]]\nmember = \"kernel-{peer}\"\nzone = \"{}\"\naddress = \"{}\"\n",
            site.controllers[peer], links[peer]
        );
    }
    text += &format!("\n[external]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n\n[params]\ncount = {}\nzones = {:?}\nclock_off_ms = 25.0\n", public.len(), site.zones);
    for (name, gpus, most) in &site.teams {
        text += &format!("\n[[params.teams]]\nname = \"{name}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus:?}\ngpus_max = {most:?}\n");
    }
    text + &format!(
        "\n[params.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n\
         \n[params.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\
         \n[params.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n[params.limits]\ncore_share = {:?}\nmem_mb = {:?}\nsockets = {}\n",
        site.report_s, site.lease_s, site.gang_wait_s, site.gang_peer_s, site.cancel_s, site.rps, site.write_rps,
        site.value_kb, site.txn_ops, site.cloud_rps, site.list_lag_s, site.core_share, site.mem_mb, site.sockets
    )
}

impl Rig {
    /// Starts state service, cloud and time. Controllers are started by `start`.
    pub fn new(site: Site, trouble: bool) -> Rig {
        let shared = World::new(site.clone());
        let folder = std::env::temp_dir().join(format!("walnut-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let cloud = start_cloud(&shared);
        let count = site.controllers.len();
        let addrs = free_ports(2 * count);
        let (public, internal) = addrs.split_at(count);
        lock(&shared).public = public.to_vec();
        let mut controllers = Vec::new();
        for index in 0..count {
            let store = start_store(&shared, index);
            let path = folder.join(format!("kernel-{index}.toml"));
            let links: Vec<SocketAddr> =
                (0..count).map(|peer| if peer == index { internal[peer] } else { start_link(&shared, index, peer, internal[peer]) }).collect();
            fs::write(&path, settings(&site, index, public, internal[index], &links, store, cloud)).expect("settings");
            controllers.push(Controller { child: None, settings: path, starts: 0 });
        }
        start_time(&shared);
        Rig { shared, controllers: Arc::new(Mutex::new(controllers)), command: deploy_command(), folder, trouble }
    }

    pub fn start(&self, index: usize) {
        let mut all = self.controllers.lock().unwrap_or_else(|e| e.into_inner());
        let c = &mut all[index];
        c.starts += 1;
        let log = fs::File::create(self.folder.join(format!("kernel-{index}.{}.log", c.starts))).expect("log");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .arg(&c.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        lock(&self.shared).note(format!("kernel-{index} is started"));
        c.child = Some(child);
    }

    pub fn kill(&self, index: usize) {
        let mut all = self.controllers.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(mut child) = all[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            lock(&self.shared).note(format!("kernel-{index} is killed"));
        }
    }

    pub fn pause(&self, index: usize, stop: bool) {
        let all = self.controllers.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(child) = &all[index].child {
            unsafe { kill(child.id() as i32, if stop { SIGSTOP } else { SIGCONT }) };
            lock(&self.shared).note(format!("kernel-{index} is {}", if stop { "stopped" } else { "continued" }));
        }
    }

    /// Controllers that have ended by themselves.
    pub fn ended(&self) -> Vec<usize> {
        let mut all = self.controllers.lock().unwrap_or_else(|e| e.into_inner());
        let mut found = Vec::new();
        for (index, c) in all.iter_mut().enumerate() {
            if let Some(child) = &mut c.child
                && matches!(child.try_wait(), Ok(Some(_)))
            {
                found.push(index);
            }
        }
        found
    }

    /// The node that most workers report to: the leader, once all is calm.
    pub fn leader(&self) -> usize {
        let w = lock(&self.shared);
        let mut votes = vec![0; w.public.len()];
        w.workers.values().filter(|m| !m.gone).for_each(|m| votes[m.node] += 1);
        (0..votes.len()).max_by_key(|n| votes[*n]).unwrap_or(0)
    }

    pub fn now(&self) -> f64 {
        lock(&self.shared).now()
    }

    pub fn sleep(&self, seconds: f64) {
        thread::sleep(Duration::from_secs_f64(seconds));
    }

    pub fn note(&self, text: &str) {
        lock(&self.shared).note(text.to_string());
    }

    /// Waits until this holds; false after `seconds`.
    pub fn wait(&self, seconds: f64, holds: impl Fn(&World) -> bool) -> bool {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            if holds(&lock(&self.shared)) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Starts all controllers and waits until each answers health checks and all workers report to one.
    pub fn ready(&self) -> Result<(), String> {
        let count = lock(&self.shared).public.len();
        // The first is up a second before the others, so that it leads: an election among equals is a matter of luck, and
        // the one that is first by zone and name would take over after ten seconds.
        for index in 0..count {
            self.start(index);
            self.sleep(if index == 0 { 1.0 } else { 0.0 });
        }
        let public = lock(&self.shared).public.clone();
        let end = Instant::now() + Duration::from_secs(15);
        let healthy = |n: &SocketAddr| matches!(wire::call(*n, "GET", "/healthz", &[], 1000), Some((200, _)));
        while !public.iter().all(healthy) {
            if Instant::now() > end {
                return Err("the controllers do not get healthy".into());
            }
            self.sleep(0.2);
        }
        let together = |w: &World| {
            let mut seen = w.workers.values().filter(|m| !m.gone);
            let first = seen.next().map(|m| (m.node, m.baton));
            first.is_none_or(|f| f.1 > 0 && seen.all(|m| (m.node, m.baton) == f))
        };
        if !self.wait(15.0, together) {
            return Err("the workers find no leader".into());
        }
        self.sleep(2.5);
        Ok(())
    }

    fn end(&self) {
        let count = self.controllers.lock().unwrap_or_else(|e| e.into_inner()).len();
        for index in 0..count {
            self.kill(index);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }

    fn write_record(&self, folder: &Path, verdict: &str) {
        let w = lock(&self.shared);
        let text = w.record.join("\n") + "\n" + verdict + "\n";
        let _ = fs::write(folder.join("record.txt"), text);
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (case, folder) = (args[1].clone(), PathBuf::from(&args[2]));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let rig = Arc::new(Rig::new(cases::site(&case), trouble));
    let (late, late_folder) = (rig.clone(), folder.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(MOST_S));
        late.end();
        late.write_record(&late_folder, "the case took too long");
        std::process::exit(2);
    });
    let run = rig.clone();
    let result = thread::spawn(move || cases::play(&case, &run)).join();
    rig.end();
    let broken = lock(&rig.shared).broken.clone();
    let (code, verdict) = match result {
        Err(_) => (2, "the case could not run: it panicked".to_string()),
        _ if !broken.is_empty() => (1, format!("BROKEN: {}", broken.join("; "))),
        Ok(Err(why)) => (2, format!("the case could not run: {why}")),
        Ok(Ok(())) => (0, "all rules held".to_string()),
    };
    rig.write_record(&folder, &verdict);
    println!("{verdict}");
    std::process::exit(code);
}
