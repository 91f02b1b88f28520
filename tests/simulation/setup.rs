//! Constructors of simulations, settings and jobs.

use super::*;

pub(super) fn zone_of_controller(controller: usize) -> &'static str {
    if controller.is_multiple_of(2) {
        "a"
    } else {
        "b"
    }
}

fn peer_settings(controller: usize, controller_count: usize) -> String {
    (0..controller_count)
        .filter(|peer| *peer != controller)
        .map(|peer| {
            format!(
                "[[siblings]]\nmember=\"kernel-{peer}\"\nzone=\"{}\"\naddress=\"10.0.0.{}:8081\"\n",
                zone_of_controller(peer),
                peer + 1
            )
        })
        .collect()
}

/// Settings of one controller.
pub fn settings(controller: usize, controller_count: usize) -> Settings {
    let peers = peer_settings(controller, controller_count);
    let text = format!(
        r#"member="kernel-{controller}"
zone="{}"
serve_on="10.0.0.{host}:8080"
internal_addr="10.0.0.{host}:8081"
{peers}
[external]
cloud="10.2.0.2:8443"
state="10.2.0.1:2379"
[params]
zones=["a","b"]
clock_off_ms=20.0
[[params.teams]]
name="red"
gpus_max=12.0
[[params.teams]]
name="blue"
[[params.teams]]
name="green"
gpus=8.0
[params.workers]
report_s=2.0
lease_s={LEASE_S}.0
gang_wait_s=30.0
gang_peer_s={GANG_PEER_TIMEOUT_S}.0
cancel_s={CANCEL_DEADLINE_S}.0
[params.state]
rps=200.0
write_rps=60.0
value_kb=8.0
txn_ops=8
[params.cloud]
rps=8.0
list_lag_s=2.0
[params.limits]
core_share=0.5
mem_mb=100.0
sockets=500
"#,
        zone_of_controller(controller),
        host = controller + 1
    );
    Settings::parse("test.toml", &text).expect("settings are valid")
}

/// A simulation of three controllers, one of which leads.
///
/// `LOG_LEVEL=debug cargo test -- --nocapture NAME` shows the controllers' logs.
pub fn simulation_with_leader(seed: u64, machines: usize) -> Simulation {
    let _ = env_logger::Builder::from_env(env_logger::Env::default().filter("LOG_LEVEL"))
        .is_test(true)
        .try_init();
    let mut sim = Simulation::new(seed, 3, machines);
    sim.run_seconds(8);
    assert!(sim.leader().is_some(), "seed {seed}: no leader after 8 s");
    sim
}

/// The seeds of a test: those of the environment variables `SEEDS_FROM` and `SEEDS`, or the given ones.
pub fn seeds(first: u64, count: u64) -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let first = number("SEEDS_FROM").unwrap_or(first);
    first..first + number("SEEDS").unwrap_or(count)
}

/// A job of team `blue` whose tasks each need this many CPUs and GPUs.
pub fn job(kind: JobKind, tasks: u32, gpus: f64) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: "blue".into(),
        kind,
        priority: walnuttrestle::protocol::Priority::Normal,
        tasks,
        cpus: gpus,
        gpus,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: kind == JobKind::Gang,
        spread: false,
        spot: false,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// The same job with dependencies on other jobs.
pub fn with_dependencies(dependencies: &[&str], spec: JobSpec) -> JobSpec {
    JobSpec {
        dependencies: dependencies.iter().map(|job| job.to_string()).collect(),
        ..spec
    }
}

impl Simulation {
    /// A simulation at its start, before any event has been handled.
    pub fn new(seed: u64, controllers: usize, machines: usize) -> Simulation {
        Simulation::with_write_rate(seed, controllers, machines, 60.0)
    }

    /// A simulation whose settings limit the store to this many changes per second.
    pub fn with_write_rate(
        seed: u64,
        controllers: usize,
        machines: usize,
        write_rps: f64,
    ) -> Simulation {
        Simulation::with_store_limits(seed, controllers, machines, write_rps, None)
    }

    /// A simulation whose settings announce future limits of the store.
    pub fn with_store_limits(
        seed: u64,
        controllers: usize,
        machines: usize,
        write_rps: f64,
        announced_limits: Option<StoreLimits>,
    ) -> Simulation {
        let mut sim = Simulation::empty(seed, write_rps, announced_limits);
        for controller in 0..controllers {
            sim.controllers.push(ControllerSlot::default());
            sim.boot_controller(controller);
        }
        for machine in 0..machines {
            let zone = if machine % 2 == 0 { "a" } else { "b" };
            sim.add_machine(zone, false);
        }
        sim.schedule(SECOND, Event::Tick);
        sim
    }

    /// A simulation whose three controllers run the first released version from the beginning.
    pub fn with_first_version(
        seed: u64,
        machines: usize,
        announced_limits: Option<StoreLimits>,
    ) -> Simulation {
        let mut sim = Simulation::with_store_limits(seed, 3, machines, 60.0, announced_limits);
        for controller in 0..3 {
            sim.crash_controller(controller, 0);
            sim.set_first_version(controller, true);
        }
        sim
    }

    fn empty(seed: u64, write_rps: f64, announced_limits: Option<StoreLimits>) -> Simulation {
        Simulation {
            now: SECOND,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            controllers: Vec::new(),
            store: FakeStore::default(),
            watch_calls: BTreeMap::new(),
            agents: BTreeMap::new(),
            booting: Vec::new(),
            cloud_unavailable: false,
            failed_machines: BTreeSet::new(),
            rentals: BTreeMap::new(),
            machine_count: 0,
            deleted_machines: BTreeSet::new(),
            pending_calls: BTreeSet::new(),
            partitions: Vec::new(),
            lost_answers_from: Vec::new(),
            write_rps,
            announced_limits,
            call_counts: CallCounts::default(),
            pledges: false,
            no_capacity: false,
            failing_jobs: BTreeSet::new(),
            command_delay: None,
            store_delay: 0,
            watch_delays: BTreeMap::new(),
            pending_responses: BTreeMap::new(),
            jobs: BTreeMap::new(),
            client_answers: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            start_counts: BTreeMap::new(),
            task_starts: Vec::new(),
            limits: BTreeMap::from([("red".to_string(), RED_TEAM_GPU_LIMIT)]),
            final_states: BTreeMap::new(),
            violation: None,
            load_balancer: Default::default(),
            failed_tasks_on_deleted_machines: 0,
            lease_s: LEASE_S,
            last_health_status: 0,
            faults: FaultInjection::default(),
            machine_boot_time: MACHINE_BOOT_TIME,
            starvation: Default::default(),
            trace: Default::default(),
        }
    }

    /// Restarts all controllers with a different duration of the agents' leases.
    pub fn restart_with_lease(&mut self, seconds: u64) {
        self.lease_s = seconds;
        self.restart_all();
    }

    /// Restarts all controllers with the policy setting `pledges`.
    pub fn restart_with_pledges(&mut self) {
        self.pledges = true;
        self.restart_all();
    }

    fn restart_all(&mut self) {
        for controller in 0..self.controllers.len() {
            self.crash_controller(controller, 50_000);
        }
        self.run_seconds(18);
    }

    /// Adds a running machine; returns its name.
    pub fn add_machine(&mut self, zone: &str, spot: bool) -> String {
        let name = self.next_machine_name();
        let mut agent = FakeAgent::new(&name, zone, self.machine_count as usize, self.now);
        agent.spot = spot;
        self.agents.insert(name.clone(), agent);
        name
    }

    pub(super) fn next_machine_name(&mut self) -> String {
        self.machine_count += 1;
        format!("n-{:06}", self.machine_count)
    }
}
