//! Stand-ins and scenarios of the cases in `review/`.
//!
//! `standin CASE RECORD FOLDER PROGRAM ARGS...` plays a case with controllers that are started as `PROGRAM ARGS...
//! SETTINGS`. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod agent;
mod cloud;
mod cluster;
mod http;
mod msgpack;
mod sites;
mod store;
mod world;

use cluster::{Cluster, Submission, wait_until};
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

struct Args {
    record: String,
    folder: PathBuf,
    run: Vec<String>,
    trouble: bool,
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.len() < 4 {
        eprintln!("standin CASE RECORD FOLDER PROGRAM ARGS...");
        exit(2);
    }
    let args = Args {
        record: words[1].clone(),
        folder: PathBuf::from(&words[2]),
        run: words[3..].to_vec(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match words[0].as_str() {
        "lost-renewal" => lost_renewal(&args),
        "blind-leader" => blind_leader(&args),
        "quota" => quota(&args),
        "lost-chunk" => lost_chunk(&args),
        other => Verdict::NotRun(format!("no such case: {other}")),
    };
    let (code, line) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken(how) => (1, format!("the rule was broken: {how}")),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    println!("{line}");
    exit(code);
}

fn seconds(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Runs the naidu deployment until long tasks run in both zones and the leader's zone has room for those of the other.
/// Returns the leader's index.
fn prepare_two_zones(cluster: &mut Cluster, tasks: u32) -> Result<usize, String> {
    if !cluster.is_running() || !wait_until(15.0, || cluster.leader().is_some()) {
        return Err("no controller leads".into());
    }
    for number in 0..tasks / 4 {
        let id = format!("req-0001{number:02}");
        let job = Submission {
            id: &id,
            class: "form-projection",
            team: "scoring-desk",
            tasks: 4,
            amounts: [5.0, 1.0, 36.0],
            yard: None,
            expected_s: 120.0,
            run_s: 190.0,
        };
        if !cluster.submit(&job) {
            return Err("a job was not accepted".into());
        }
    }
    if !wait_until(25.0, || cluster.world.running() == tasks as usize) {
        return Err("the first jobs do not run".into());
    }
    let leader = cluster.leader().ok_or("no controller leads")?;
    make_room(cluster, leader, 200)?;
    let zone = &cluster.nodes[leader].zone;
    let agents = cluster.cloud.agents();
    let busy_elsewhere = agents
        .iter()
        .filter(|agent| agent.zone != *zone && agent.room().1 < 4.0);
    if busy_elsewhere.count() < 2 {
        return Err("too few machines of the other zone have tasks".into());
    }
    Ok(leader)
}

/// A short job in the leader's zone, after which its machines stay idle for a while.
fn make_room(cluster: &Cluster, leader: usize, number: u32) -> Result<(), String> {
    let id = format!("req-000{number}");
    let zone = cluster.nodes[leader].zone.clone();
    let filler = Submission {
        id: &id,
        class: "form-projection",
        team: "scoring-desk",
        tasks: 8,
        amounts: [5.0, 1.0, 36.0],
        yard: Some(&zone),
        expected_s: 5.0,
        run_s: 3.0,
    };
    if !cluster.submit(&filler) {
        return Err("a job was not accepted".into());
    }
    let completed = || {
        let completed = cluster.world.completed.lock().unwrap();
        completed
            .keys()
            .filter(|task| task.starts_with(&id))
            .count()
    };
    if !wait_until(25.0, || completed() == 8) {
        return Err("the short job does not run".into());
    }
    Ok(())
}

fn ran_twice(cluster: &Cluster) -> Option<String> {
    let broken = cluster.world.ran_twice.lock().unwrap();
    let first = broken.first()?;
    Some(format!("{first} ({} such starts)", broken.len()))
}

/// The zones cannot reach each other for 40 s. From the 13th second on, for 11 s, the transactions of the controllers are
/// carried out at once and only their answers are lost.
fn lost_renewal(args: &Args) -> Verdict {
    let mut cluster = Cluster::start(&sites::NAIDU, &args.record, &args.run, args.folder.clone());
    if let Err(why) = prepare_two_zones(&mut cluster, 16) {
        return Verdict::NotRun(why);
    }
    seconds(2.0);
    if args.trouble {
        cluster.set_zones_cut(true);
    }
    seconds(13.0);
    if args.trouble {
        cluster
            .world
            .log("TROUBLE: transactions are carried out and get no answer");
        cluster.store.set_lost_share(1.0);
    }
    wait_until(11.0, || ran_twice(&cluster).is_some());
    cluster.store.set_lost_share(0.0);
    cluster.world.log("all transactions are answered");
    wait_until(16.0, || ran_twice(&cluster).is_some());
    if args.trouble {
        cluster.set_zones_cut(false);
    }
    seconds(5.0);
    cluster.stop();
    match ran_twice(&cluster) {
        Some(how) => Verdict::Broken(how),
        None => Verdict::Held,
    }
}

/// The zones cannot reach each other for 25 s. From the sixth second on, the state service refuses the leader alone, and
/// two seconds later everybody, for 10 s.
fn blind_leader(args: &Args) -> Verdict {
    let mut cluster = Cluster::start(&sites::NAIDU, &args.record, &args.run, args.folder.clone());
    let leader = match prepare_two_zones(&mut cluster, 32) {
        Ok(leader) => leader,
        Err(why) => return Verdict::NotRun(why),
    };
    if args.trouble {
        cluster.set_zones_cut(true);
    }
    seconds(5.2);
    if args.trouble {
        cluster.world.log(&format!(
            "TROUBLE: the state service refuses kernel-{leader} alone"
        ));
        cluster.store.set_refused(leader, true);
        seconds(2.0);
        cluster.world.log("TROUBLE: the state service is out");
        cluster.store.begin_outage();
        seconds(10.0);
        cluster.store.end_outage();
        cluster
            .world
            .log("the state service serves everybody again");
    }
    wait_until(7.0, || ran_twice(&cluster).is_some());
    if args.trouble {
        cluster.set_zones_cut(false);
    }
    seconds(5.0);
    cluster.stop();
    match ran_twice(&cluster) {
        Some(how) => Verdict::Broken(how),
        None => Verdict::Held,
    }
}

/// While a long array runs, transactions are carried out at once and only their answers are lost, for 3 s. After
/// that, neither the array nor a job that is submitted then may wait for 90 s while a machine has room.
fn lost_chunk(args: &Args) -> Verdict {
    const AMOUNTS: [f64; 3] = [6.0, 1.0, 24.0];
    let mut cluster = Cluster::start(&sites::ARMOR, &args.record, &args.run, args.folder.clone());
    for _ in 0..2 {
        for zone in sites::ARMOR.zones {
            cluster.cloud.add_machine(zone);
        }
    }
    if !cluster.is_running() || !wait_until(15.0, || cluster.leader().is_some()) {
        return Verdict::NotRun("no controller leads".into());
    }
    let job = |id: &'static str, tasks: u32| Submission {
        id,
        class: "colour-sweep",
        team: "platform-crew",
        tasks,
        amounts: AMOUNTS,
        yard: None,
        expected_s: 3.0,
        run_s: 3.0,
    };
    let jobs = [job("req-000300", 400), job("req-000301", 1)];
    if !cluster.submit(&jobs[0]) {
        return Verdict::NotRun("the array was not accepted".into());
    }
    let world = cluster.world.clone();
    let completed = |id: &str| {
        let completed = world.completed.lock().unwrap();
        completed
            .keys()
            .filter(|task| agent::job_of(task) == id)
            .count()
    };
    if !wait_until(25.0, || completed(jobs[0].id) >= 60) {
        return Verdict::NotRun("the array does not run".into());
    }
    if args.trouble {
        world.log("TROUBLE: transactions are carried out and get no answer");
        cluster.store.set_lost_share(1.0);
    }
    seconds(3.0);
    cluster.store.set_lost_share(0.0);
    world.log(&format!(
        "all transactions are answered; {} answers were lost",
        cluster.store.lost_answers()
    ));
    if !cluster.submit(&jobs[1]) {
        return Verdict::NotRun("the second job was not accepted".into());
    }
    // Since when each job has waited without a start, with room on a machine.
    let mut waits_since = [world.now(); 2];
    let mut asked_at = 0.0;
    let mut verdict = Verdict::Held;
    while world.now() < 117.0 {
        seconds(0.2);
        let now = world.now();
        let room = cluster.cloud.agents().iter().any(|agent| {
            let (cpus, gpus, memory_gb) = agent.room();
            agent.is_up() && cpus >= AMOUNTS[0] && gpus >= AMOUNTS[1] && memory_gb >= AMOUNTS[2]
        });
        let mut waiting = [0; 2];
        for (index, job) in jobs.iter().enumerate() {
            let on_machines = world.on_machines(job.id);
            waiting[index] = job.tasks as usize - completed(job.id) - on_machines;
            let last_start = world.last_start(job.id);
            if waiting[index] == 0 || !room {
                waits_since[index] = now;
            }
            waits_since[index] = f64::max(waits_since[index], last_start);
        }
        if now - asked_at > 5.0 {
            asked_at = now;
            for job in &jobs {
                cluster.ask(1, job.id);
            }
            world.log(&format!(
                "waiting tasks: {waiting:?}, room on a machine: {room}"
            ));
        }
        if waiting == [0, 0]
            && jobs
                .iter()
                .all(|job| completed(job.id) == job.tasks as usize)
        {
            break;
        }
        let late: Vec<&str> = (0..2)
            .filter(|index| now - waits_since[*index] >= 90.0)
            .map(|index| jobs[index].id)
            .collect();
        // The wait of the second job began a little later.
        if late.len() == 2 || (!late.is_empty() && now - waits_since[0] >= 93.0) {
            verdict = Verdict::Broken(format!(
                "{late:?} waited for 90 s while a machine had room; waiting tasks: {waiting:?}"
            ));
            break;
        }
    }
    cluster.stop();
    verdict
}

/// A team is at its limit. Two machines with tasks of its long array hang for 7 s; the array is cancelled; all
/// controllers crash and are back within a second.
fn quota(args: &Args) -> Verdict {
    const AMOUNTS: [f64; 3] = [5.0, 1.0, 36.0];
    let mut cluster = Cluster::start(
        &sites::NAIDU_SMALL,
        &args.record,
        &args.run,
        args.folder.clone(),
    );
    if !cluster.is_running() || !wait_until(15.0, || cluster.leader().is_some()) {
        return Verdict::NotRun("no controller leads".into());
    }
    let job = |id: &'static str, team: &'static str, tasks: u32, run_s: f64| Submission {
        id,
        class: "form-projection",
        team,
        tasks,
        amounts: AMOUNTS,
        yard: None,
        expected_s: 20.0,
        run_s,
    };
    let world = cluster.world.clone();
    let done = |id: &str| {
        let completed = world.completed.lock().unwrap();
        completed
            .keys()
            .filter(|task| agent::job_of(task) == id)
            .count()
    };
    // Tasks 0 to 47 are over when the others run.
    let long = job("req-000400", "league-ops", 80, 3.0);
    // Another team's job, after which machines are idle.
    let other = job("req-000401", "scoring-desk", 16, 12.0);
    // Waits for its team's limit.
    let waiting = job("req-000402", "league-ops", 16, 90.0);
    for job in [&long, &other, &waiting] {
        if !cluster.submit(job) {
            return Verdict::NotRun("a job was not accepted".into());
        }
    }
    if !wait_until(60.0, || {
        done("req-000400") >= 48 && done("req-000401") == 16
    }) {
        return Verdict::NotRun("the jobs do not run".into());
    }
    let agents = cluster.cloud.agents();
    let runs_long = |agent: &std::sync::Arc<agent::Agent>| agent.job_runs_here("req-000400");
    if !wait_until(5.0, || {
        agents.iter().filter(|agent| runs_long(agent)).count() >= 4
    }) {
        return Verdict::NotRun("too few machines run the long array".into());
    }
    if args.trouble {
        for agent in agents.iter().filter(|agent| runs_long(agent)).take(2) {
            agent.hang(Duration::from_secs_f64(7.0));
        }
    }
    let leader = cluster.leader().unwrap_or(0);
    let cancelled = cluster.cancel((leader + 1) % 3, "req-000400");
    if cancelled.as_deref() != Some("cancelled") {
        return Verdict::NotRun("the array was not cancelled".into());
    }
    seconds(0.3);
    if args.trouble {
        cluster.crash_all(Duration::from_millis(500));
    }
    seconds(15.0);
    cluster.stop();
    let broken = world.over_quota.lock().unwrap();
    match broken.last() {
        Some(last) => Verdict::Broken(format!("{last} ({} such starts)", broken.len())),
        None => Verdict::Held,
    }
}
