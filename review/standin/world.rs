//! What all stand-ins share: the record, the jobs that users uploaded, which task is on which machine, the cut.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct JobInfo {
    pub team: String,
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    /// Run time of each task in seconds.
    pub run_s: f64,
}

/// The numbers of `[params.workers]`.
#[derive(Clone, Copy)]
pub struct WorkerTimes {
    pub report_s: f64,
    pub lease_s: f64,
}

#[derive(Clone, Copy)]
pub struct MachineKind {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

pub struct World {
    started: Instant,
    record: Mutex<File>,
    random: AtomicU64,
    pub workers: WorkerTimes,
    pub machine_kind: MachineKind,
    pub zones: Vec<String>,
    /// Description of each job as users uploaded it.
    pub jobs: Mutex<BTreeMap<String, JobInfo>>,
    /// For each task, the machines that it is on, with the attempt.
    pub on_machine: Mutex<BTreeMap<String, Vec<(String, u64)>>>,
    /// Time and machine of each start.
    pub starts: Mutex<Vec<(f64, String, String)>>,
    /// Tasks that have completed, with the time of the completion.
    pub completed: Mutex<BTreeMap<String, f64>>,
    pub ran_twice: Mutex<Vec<String>>,
    /// Limit of the GPUs of a team.
    pub gpu_limits: BTreeMap<String, f64>,
    pub over_quota: Mutex<Vec<String>>,
    /// The zones cannot reach each other. Users, the cloud and the state service belong to no zone.
    pub zones_cut: AtomicBool,
    /// Zone of the controller that holds each token, as the state service has seen it.
    pub zone_of_token: Mutex<BTreeMap<u64, String>>,
}

impl World {
    pub fn new(
        record: &str,
        workers: WorkerTimes,
        machine_kind: MachineKind,
        zones: &[&str],
        gpu_limits: &[(&str, f64)],
    ) -> World {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seed = since_epoch.map_or(0, |time| time.as_nanos() as u64)
            ^ u64::from(std::process::id()) << 40;
        World {
            started: Instant::now(),
            record: Mutex::new(File::create(record).expect("the record can be written")),
            random: AtomicU64::new(seed),
            workers,
            machine_kind,
            zones: zones.iter().map(|zone| zone.to_string()).collect(),
            jobs: Mutex::default(),
            on_machine: Mutex::default(),
            starts: Mutex::default(),
            completed: Mutex::default(),
            ran_twice: Mutex::default(),
            gpu_limits: gpu_limits
                .iter()
                .map(|(team, limit)| (team.to_string(), *limit))
                .collect(),
            over_quota: Mutex::default(),
            zones_cut: AtomicBool::new(false),
            zone_of_token: Mutex::default(),
        }
    }

    /// Seconds since the start of the test.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn log(&self, line: &str) {
        let line = format!("{:8.3} {line}\n", self.now());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// A random number from 0 up to 1.
    pub fn random(&self) -> f64 {
        let mut value = self
            .random
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((value ^ (value >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn is_cut(&self, zone: &str, other: &str) -> bool {
        zone != other && self.zones_cut.load(Ordering::SeqCst)
    }

    /// A task is on its machine from now on.
    pub fn enter(&self, task: &str, attempt: u64, machine: &str) {
        let mut on_machine = self.on_machine.lock().unwrap();
        let others = on_machine.entry(task.to_string()).or_default();
        self.log(&format!("{machine} starts {task} try {attempt}"));
        self.starts
            .lock()
            .unwrap()
            .push((self.now(), task.to_string(), machine.to_string()));
        if let Some((other, other_attempt)) = others.first() {
            let line = format!(
                "RAN TWICE: {task} try {attempt} starts on {machine} while try {other_attempt} is on {other}"
            );
            self.log(&line);
            self.ran_twice.lock().unwrap().push(line);
        }
        others.push((machine.to_string(), attempt));
        self.check_quota(&on_machine, task);
    }

    /// Checks the limit of the team whose task has started.
    fn check_quota(&self, on_machine: &BTreeMap<String, Vec<(String, u64)>>, started: &str) {
        let jobs = self.jobs.lock().unwrap();
        let job_of = |task: &str| jobs.get(task.rsplit_once('/').map_or(task, |(job, _)| job));
        let Some(team) = job_of(started).map(|job| &job.team) else {
            return;
        };
        let Some(limit) = self.gpu_limits.get(team) else {
            return;
        };
        let gpus: f64 = on_machine
            .iter()
            .filter_map(|(task, places)| Some((job_of(task)?, places.len())))
            .filter(|(job, _)| job.team == *team)
            .map(|(job, count)| job.gpus * count as f64)
            .sum();
        if gpus > limit + 1e-6 {
            let line =
                format!("OVER THE LIMIT: {started} starts, {team} uses {gpus} GPUs of {limit}");
            self.log(&line);
            self.over_quota.lock().unwrap().push(line);
        }
    }

    /// A task is no longer on its machine.
    pub fn leave(&self, task: &str, attempt: u64, machine: &str, why: &str) {
        let mut on_machine = self.on_machine.lock().unwrap();
        if let Some(places) = on_machine.get_mut(task) {
            let before = places.len();
            places.retain(|place| *place != (machine.to_string(), attempt));
            if places.len() < before {
                self.log(&format!("{machine} ends {task} try {attempt}: {why}"));
            }
        }
        if why == "done" {
            let now = self.now();
            self.completed
                .lock()
                .unwrap()
                .entry(task.to_string())
                .or_insert(now);
        }
    }

    /// Number of a job's tasks that are on machines.
    pub fn on_machines(&self, job: &str) -> usize {
        let on_machine = self.on_machine.lock().unwrap();
        let of_job = on_machine
            .iter()
            .filter(|(task, _)| crate::agent::job_of(task) == job);
        of_job.map(|(_, places)| places.len()).sum()
    }

    /// When a task of a job last started; 0: never.
    pub fn last_start(&self, job: &str) -> f64 {
        let starts = self.starts.lock().unwrap();
        let of_job = starts
            .iter()
            .filter(|(_, task, _)| crate::agent::job_of(task) == job);
        of_job.map(|(at, ..)| *at).fold(0.0, f64::max)
    }

    pub fn running(&self) -> usize {
        self.on_machine.lock().unwrap().values().map(Vec::len).sum()
    }
}
