//! The cases.

use crate::Rig;
use crate::wire::*;
use crate::world::*;

/// The deployment of the league (kit/more/hunt/naidu-leagues-suva-hunt.toml), with limits of teams for a few machines.
fn naidu(teams: Vec<(&'static str, f64, f64)>) -> Site {
    Site {
        name: "naidu-leagues-suva-hunt",
        zones: vec!["nadi-rack", "suva-rack"],
        controllers: vec!["suva-rack", "nadi-rack", "suva-rack"],
        teams,
        report_s: 5.0, lease_s: 26.5, gang_wait_s: 40.0, gang_peer_s: 6.0, cancel_s: 56.5,
        rps: 400.0, write_rps: 150.0, value_kb: 8.0, txn_ops: 12, cloud_rps: 8.0, list_lag_s: 8.0,
        core_share: 0.12, mem_mb: 208.0, sockets: 3695,
        press: "reef-node", cpus: 24.0, cards: 4.0, memory_gb: 192.0, boot_s: 50.0, fetch_gb_per_s: 0.4,
    }
}

/// The small deployment of the league (kit/sites/naidu-leagues-suva.toml).
fn naidu_small() -> Site {
    Site {
        name: "naidu-leagues-suva",
        report_s: 2.0, lease_s: 10.0, cancel_s: 40.0, rps: 120.0, write_rps: 40.0, cloud_rps: 4.0, core_share: 0.04,
        mem_mb: 72.0, sockets: 1200,
        ..naidu(vec![("scoring-desk", 64.0, 160.0), ("league-ops", 56.0, 96.0)])
    }
}

/// The large deployment of the print shops (kit/more/hunt/armor-print-commons-hunt.toml).
fn armor_hunt() -> Site {
    Site {
        name: "armor-print-commons-hunt",
        zones: vec!["brest-dock", "rennes-hall"],
        controllers: vec!["rennes-hall", "brest-dock", "rennes-hall"],
        teams: vec![("platform-crew", 0.0, 0.0)],
        report_s: 5.0, lease_s: 26.5, gang_wait_s: 45.0, gang_peer_s: 5.0, cancel_s: 46.5,
        rps: 250.0, write_rps: 60.0, value_kb: 4.0, txn_ops: 8, cloud_rps: 12.0, list_lag_s: 8.0,
        core_share: 0.416, mem_mb: 208.0, sockets: 3744,
        press: "menhir-box", cpus: 64.0, cards: 8.0, memory_gb: 256.0, boot_s: 45.0, fetch_gb_per_s: 0.4,
    }
}

pub fn site(case: &str) -> Site {
    match case {
        "ghost" => naidu(vec![("scoring-desk", 4.0, 8.0), ("league-ops", 2.0, 2.0)]),
        "backfill" => armor_hunt(),
        _ => naidu_small(),
    }
}

#[derive(Clone, Copy)]
pub struct Spec {
    pub class: &'static str,
    pub team: &'static str,
    pub shape: &'static str,
    pub rank: &'static str,
    pub sheets: i64,
    pub cpus: f64,
    pub cards: f64,
    pub memory_gb: f64,
    pub expected_s: f64,
    pub zone: Option<&'static str>,
    pub proof_s: f64,
    pub stash_s: f64,
    pub together: bool,
    pub scatter: bool,
}

pub fn spec(x: &Spec) -> V {
    map(vec![
        ("docket", s(x.class)), ("crew", s(x.team)), ("shape", s(x.shape)), ("rank", s(x.rank)),
        ("sheets", V::Int(x.sheets)), ("cpus", V::F(x.cpus)), ("cards", V::F(x.cards)), ("memory_gb", V::F(x.memory_gb)),
        ("plate", s("img-01")), ("size_gb", V::F(0.2)), ("presses", V::Nil),
        ("yard", x.zone.map_or(V::Nil, s)), ("together", V::Bool(x.together)), ("scatter", V::Bool(x.scatter)),
        ("loaners", V::Bool(false)), ("expected_s", V::F(x.expected_s)),
        ("proof_s", V::F(x.proof_s)), ("stash_s", V::F(x.stash_s)), ("due_s", V::Nil),
    ])
}

fn service(team: &'static str, cards: f64, zone: &'static str) -> V {
    spec(&Spec {
        class: "live-score", team, shape: "standing", rank: "prod", sheets: 1, cpus: 4.0, cards, memory_gb: 29.0,
        expected_s: 0.0, zone: Some(zone),
        proof_s: 0.0, stash_s: 0.0, together: false, scatter: false,
    })
}

fn array(team: &'static str, sheets: i64, cards: f64, zone: Option<&'static str>) -> V {
    spec(&Spec {
        class: "form-projection", team, shape: "sweep", rank: "best_effort", sheets, cpus: 5.0, cards,
        memory_gb: 36.0, expected_s: 100.0, zone,
        proof_s: 30.0, stash_s: 3.0, together: false, scatter: false,
    })
}

pub fn play(case: &str, rig: &Rig) -> Result<(), String> {
    match case {
        "ghost" => ghost(rig),
        "backfill" => backfill(rig),
        "renewals" => renewals(rig),
        _ => Err(format!("no case {case}")),
    }
}

fn submitted(rig: &Rig, id: &str, spec: V, run_s: f64) -> Result<(), String> {
    declare(&rig.shared, id, spec, run_s);
    match until_answered(&rig.shared, rig.leader(), "submit", id) {
        Some(_) => Ok(()),
        None => Err(format!("{id} is not accepted")),
    }
}

/// Polls until the job is called this; false after `seconds`.
fn polled(rig: &Rig, id: &str, state: &str, seconds: f64) -> bool {
    let end = rig.now() + seconds;
    while rig.now() < end {
        if let Some((200, body)) = ask(&rig.shared, rig.leader(), "poll", id)
            && body.get("status").str() == state
        {
            return true;
        }
        rig.sleep(0.05);
    }
    false
}

fn runs(w: &World, sheet: &str) -> bool {
    w.workers.values().any(|m| !m.gone && m.sheets.iter().any(|t| t.name == sheet && t.state == State::Running))
}

/// A task is stopped to make room before its start was sent. Its place stays on record, and is started a minute later.
fn ghost(rig: &Rig) -> Result<(), String> {
    start_worker(&rig.shared, "n-000001", "suva-rack");
    start_worker(&rig.shared, "n-000002", "nadi-rack");
    rig.ready()?;
    if rig.trouble {
        let mut w = lock(&rig.shared);
        let until = w.now() + 1.5;
        let m = w.workers.get_mut("n-000001").expect("worker");
        (m.hold_orders, m.held_for) = (until, 4.0);
        w.note("TROUBLE: direct commands to n-000001 of the next 1.5 s are held up for 4 s each".into());
    }
    // A replica of the scoreboard: its start is held up.
    submitted(rig, "req-000001", service("scoring-desk", 2.0, "suva-rack"), 0.0)?;
    if !polled(rig, "req-000001", "running", 4.0) {
        return Err("req-000001 gets no place".into());
    }
    // A projection of the team with the limit of two cards gets the rest of the machine.
    submitted(rig, "req-000002", array("league-ops", 1, 2.0, Some("suva-rack")), 200.0)?;
    if !polled(rig, "req-000002", "running", 4.0) {
        return Err("req-000002 gets no place".into());
    }
    // A second replica of the scoreboard takes that room.
    submitted(rig, "req-000003", service("scoring-desk", 2.0, "suva-rack"), 0.0)?;
    // Another projection of the same team, in the other zone.
    submitted(rig, "req-000004", array("league-ops", 1, 2.0, Some("nadi-rack")), 200.0)?;
    if !rig.wait(15.0, |w| runs(w, "req-000003/0") && runs(w, "req-000004/0")) {
        return Err("req-000003 and req-000004 do not run".into());
    }
    rig.sleep(5.0);
    until_answered(&rig.shared, rig.leader(), "cancel", "req-000003");
    rig.wait(70.0, |w| !w.broken.is_empty());
    rig.sleep(1.0);
    Ok(())
}

/// A gang that needs a whole machine waits at the head of the queue. Whenever tasks are stopped for it, tasks of later jobs
/// take the room that is free on the same machine.
fn backfill(rig: &Rig) -> Result<(), String> {
    start_worker(&rig.shared, "n-000001", "brest-dock");
    rig.ready()?;
    let proof = Spec {
        class: "live-proof", team: "platform-crew", shape: "standing", rank: "prod", sheets: 1, cpus: 5.0, cards: 1.0,
        memory_gb: 19.0, expected_s: 0.0, zone: None, proof_s: 0.0, stash_s: 0.0, together: false, scatter: true,
    };
    let gang = Spec {
        class: "upscale-gang", shape: "gang", rank: "urgent", cpus: 57.0, cards: 8.0, memory_gb: 200.0, expected_s: 20.0,
        proof_s: 20.0, stash_s: 4.0, together: true, scatter: false, ..proof
    };
    let sweep = Spec {
        class: "colour-sweep", shape: "sweep", rank: "standard", sheets: 7, cpus: 6.0, memory_gb: 24.0, expected_s: 50.0,
        scatter: false, ..proof
    };
    submitted(rig, "req-000001", spec(&proof), 0.0)?;
    if !rig.wait(10.0, |w| runs(w, "req-000001/0")) {
        return Err("the preview does not run".into());
    }
    submitted(rig, "req-000002", spec(&gang), 20.0)?;
    submitted(rig, "req-000003", spec(&sweep), 50.0)?;
    if !rig.wait(10.0, |w| (0..7).all(|n| runs(w, &format!("req-000003/{n}")))) {
        return Err("the sweep does not run".into());
    }
    if rig.trouble {
        rig.note("TROUBLE: jobs of colour-sweep come three times as often");
        submitted(rig, "req-000004", spec(&Spec { sheets: 7, ..sweep }), 50.0)?;
        submitted(rig, "req-000005", spec(&Spec { sheets: 7, ..sweep }), 50.0)?;
    }
    rig.sleep(2.0);
    // The preview is closed: nothing but tasks that may be stopped is left on the machine.
    until_answered(&rig.shared, rig.leader(), "cancel", "req-000001");
    rig.wait(3.0, |w| !runs(w, "req-000001/0"));
    lock(&rig.shared).calm = true;
    rig.note("all troubles are over");
    while rig.now() < 114.0 && lock(&rig.shared).broken.is_empty() {
        rig.sleep(1.0);
        if ["req-000002", "req-000003"].iter().all(|id| lock(&rig.shared).jobs[*id].done.len() > 0) && !rig.trouble {
            rig.sleep(3.0);
            for id in ["req-000002", "req-000003"] {
                if !polled(rig, id, "done", 4.0) {
                    rig.note(&format!("{id} is not called done"));
                }
            }
            break;
        }
    }
    for id in ["req-000002", "req-000003"] {
        ask(&rig.shared, rig.leader(), "poll", id);
    }
    Ok(())
}

/// A follower has recorded that it renews the lease of a machine. The leader raises its own term and goes by that record for
/// ever.
fn renewals(rig: &Rig) -> Result<(), String> {
    let zones = lock(&rig.shared).site.controllers.clone();
    start_worker(&rig.shared, "n-000001", "suva-rack");
    rig.ready()?;
    let leader = rig.leader();
    let near = zones[leader];
    let far = zones.iter().copied().find(|z| *z != near).ok_or("one zone only")?;
    // Seven cheap machines, of which two are taken back in the end.
    for (number, zone) in [far, far, far, near, near, near, near].iter().enumerate() {
        start_machine(&rig.shared, &format!("n-{:06}", number + 2), zone, true);
    }
    if !rig.wait(10.0, |w| w.workers.values().all(|m| m.answered_by == Some(leader) && m.baton > 0)) {
        return Err("the new machines do not report".into());
    }
    rig.sleep(2.5);
    // A projection that may use cheap machines, and saves; bound to the zone without the leader.
    let projection = |sheets, cards, zone| {
        let V::M(mut fields) = array("league-ops", sheets, cards, Some(zone)) else { unreachable!() };
        fields.iter_mut().for_each(|f| if f.0 == "loaners" { f.1 = V::Bool(true) });
        V::M(fields)
    };
    submitted(rig, "req-000001", projection(1, 1.0, far), 50.0)?;
    if !rig.wait(8.0, |w| runs(w, "req-000001/0")) {
        return Err("req-000001 does not run".into());
    }
    let home = |w: &World| {
        let mut found = w.workers.values().filter(|m| m.sheets.iter().any(|t| t.name == "req-000001/0"));
        found.next().map(|m| (m.name.clone(), m.baton))
    };
    let (machine, token) = home(&lock(&rig.shared)).ok_or("req-000001 is nowhere")?;
    if rig.trouble {
        {
            let mut w = lock(&rig.shared);
            w.note(format!("TROUBLE: {near} and {far} can't reach each other (connections are reset)"));
            w.cut = Some(near.to_string());
        }
        let answered = rig.wait(15.0, |w| w.workers[&machine].answered_by.is_some_and(|n| n != leader));
        rig.sleep(1.0);
        lock(&rig.shared).cut = None;
        rig.note("the zones reach each other again");
        if !answered {
            return Err("no follower renews the lease".into());
        }
        rig.sleep(0.5);
        lock(&rig.shared).taken_with = Some("req-000002/0".into());
    }
    // A job whose start is on its way to a cheap machine when that machine is taken back; its user calls it off.
    submitted(rig, "req-000002", projection(1, 4.0, near), 100.0)?;
    rig.sleep(4.0);
    until_answered(&rig.shared, leader, "cancel", "req-000002");
    if rig.trouble {
        if !rig.wait(6.0, |w| w.workers[&machine].baton > token) {
            return Err("the leader does not raise its term".into());
        }
        rig.sleep(0.5);
        let mut w = lock(&rig.shared);
        w.workers.get_mut(&machine).expect("worker").gone = true;
        w.note(format!("TROUBLE: {machine} is taken back without notice"));
        w.calm = true;
        w.note("all troubles are over".into());
    }
    while rig.now() < 115.0 && lock(&rig.shared).broken.is_empty() {
        if polled(rig, "req-000001", "done", 0.2) {
            break;
        }
        rig.sleep(4.0);
    }
    Ok(())
}
