//! Jobs on machines: gangs, limits, guarantees, faults, notices.

use crate::world::{Costs, Cut, LEASE_S, Party, SEC, World, job, settled};
use walnuttrestle::protocol::JobKind;

#[test]
fn a_quiet_day_runs_everything() {
    let mut w = settled(1, 4);
    w.user("req-1", job(JobKind::Array, 5, 1.0), 6 * SEC);
    w.user("req-2", job(JobKind::Gang, 3, 4.0), 6 * SEC);
    w.user("req-3", job(JobKind::Service, 2, 1.0), 0);
    w.run(60);
    assert!(w.job_done("req-1") && w.job_done("req-2"));
    assert_eq!(w.told("req-3"), "running");
    assert_eq!(w.starts["req-2/0"], 1, "a gang starts once");
}

#[test]
fn a_large_array_spans_several_records() {
    let mut w = settled(2, 6);
    w.user("req-1", job(JobKind::Array, 130, 1.0), 2 * SEC);
    w.run(120);
    assert!(w.job_done("req-1"));
    assert!((0..130).all(|t| w.starts[&format!("req-1/{t}")] == 1));
}

#[test]
fn a_gang_that_waits_for_its_record_is_not_taken_for_broken() {
    // A change takes two seconds: passes come and go before the second attempt is on record.
    let mut w = World::with_budget(33, 3, 2, 1.0);
    w.run(20);
    let gangs: Vec<String> = (1..=4).map(|n| format!("req-{n}")).collect();
    for id in &gangs {
        w.user(id, job(JobKind::Gang, 1, 1.0), 60 * SEC);
    }
    w.run(40);
    let m = w.on("req-1/0").into_iter().next().unwrap();
    w.agents.get_mut(&m).unwrap().alive = false;
    w.run(180);
    assert!(gangs.iter().all(|id| w.job_done(id)));
    assert!(w.starts.values().all(|n| *n <= 2), "{:?}", w.starts);
}

#[test]
fn a_gang_that_loses_a_member_starts_anew_as_a_whole() {
    let mut w = settled(12, 4);
    w.user("req-1", job(JobKind::Gang, 2, 8.0), 30 * SEC);
    w.run(10);
    let m = w.on("req-1/1").into_iter().next().unwrap();
    w.agents.get_mut(&m).unwrap().alive = false;
    w.run(120);
    assert!(w.job_done("req-1"));
    assert_eq!(w.starts["req-1/0"], 2);
}

#[test]
fn a_team_stays_within_its_limit_while_a_machine_cannot_be_reached() {
    let mut w = settled(13, 4);
    let spec = walnuttrestle::protocol::JobSpec {
        team: "red".into(),
        ..job(JobKind::Array, 12, 2.0)
    };
    w.user("req-1", spec, 12 * SEC);
    w.run(6);
    let m = w.on("req-1/0").into_iter().next().unwrap();
    for i in 0..3 {
        w.cut(
            Party::Controller(i),
            Party::Agent(m.clone()),
            Cut::Hold,
            LEASE_S * SEC - SEC,
        );
    }
    w.run(120);
    assert!(w.job_done("req-1"));
}

#[test]
fn a_gang_ahead_takes_the_room_of_backfilled_tasks_and_they_save() {
    let mut w = settled(14, 2);
    w.cloud_down = true;
    // One machine is full for a while, so the gang must wait, and small ones pass it.
    w.user("req-1", job(JobKind::Array, 8, 1.0), 25 * SEC);
    w.run(4);
    let mut wide = job(JobKind::Gang, 2, 8.0);
    wide.one_zone = false;
    w.user("req-2", wide, 5 * SEC);
    w.run(2);
    let mut small = job(JobKind::Array, 4, 1.0);
    small.checkpoint_s = 5.0;
    small.save_s = 2.0;
    w.user("req-3", small, 60 * SEC);
    w.run(60);
    assert!(w.starts.contains_key("req-3/0"), "was backfilled");
    assert!(
        w.starts.contains_key("req-2/0") || w.job_done("req-2"),
        "the gang got room"
    );
    w.run(200);
    assert!(w.job_done("req-1") && w.job_done("req-2") && w.job_done("req-3"));
}

#[test]
fn a_machine_that_fails_every_task_is_set_aside() {
    let mut w = settled(15, 3);
    w.agents.get_mut("n-000001").unwrap().errors = true;
    for i in 0..6 {
        w.user(&format!("req-{i}"), job(JobKind::Array, 2, 2.0), 4 * SEC);
    }
    w.run(120);
    assert!((0..6).all(|i| w.job_done(&format!("req-{i}"))));
    assert!(w.deleted.contains("n-000001"));
}

/// What ran there before still completes, one task after the other; that proves nothing.
#[test]
fn a_machine_that_fails_what_it_starts_is_not_well_because_old_tasks_complete() {
    let mut w = settled(16, 2);
    w.no_capacity = true;
    for i in 0..10 {
        w.user(
            &format!("req-{i}"),
            job(JobKind::Array, 1, 1.0),
            (20 + 6 * i) * SEC,
        );
    }
    w.run(8);
    w.agents.get_mut("n-000001").unwrap().errors = true;
    for i in 20..50 {
        w.user(&format!("req-{i}"), job(JobKind::Array, 1, 1.0), 6 * SEC);
        w.run(3);
    }
    w.run(60);
    assert!(w.jobs.keys().all(|id| w.job_done(id)));
    let m = w.agents.get("n-000001");
    assert!(m.is_none_or(|m| m.failed <= 2), "{:?}", m.map(|m| m.failed));
}

#[test]
fn three_hundred_machines_cost_what_happens_on_them() {
    let mut w = World::new(38, 3, 300);
    w.run(12);
    w.costs = Costs::default();
    for n in 0..40 {
        w.user(&format!("req-{n}"), job(JobKind::Array, 15, 1.0), 6 * SEC);
    }
    for n in 100..140 {
        w.user(&format!("req-{n}"), job(JobKind::Service, 3, 1.0), 0);
    }
    for n in 200..210 {
        w.user(&format!("req-{n}"), job(JobKind::Gang, 16, 8.0), 6 * SEC);
    }
    w.run(40);
    assert!(
        (0..40)
            .chain(200..210)
            .all(|n| w.job_done(&format!("req-{n}")))
    );
    let tasks = 40 * 15 + 40 * 3 + 10 * 16;
    assert_eq!(w.starts.values().sum::<u32>(), tasks);
    // Accepted, placed, done: a change each at most. Without merging the ends it is 274.
    assert!(w.costs.changes < 260, "{:?}", w.costs);
    // A start needs a call; one call carries all that is due on a machine.
    assert!(w.costs.orders < tasks as usize + 300, "{:?}", w.costs);

    // Nothing happens: 150 reports a second cost neither the store nor the agents a call. What is
    // left are the users' polls, which share barriers, and the leader's signs of life.
    w.run(10);
    w.costs = Costs::default();
    w.run(20);
    assert_eq!(w.costs.orders, 0, "{:?}", w.costs);
    assert!(
        w.costs.changes < 5 && w.costs.requests < 500,
        "{:?}",
        w.costs
    );
    assert!(
        (0..3).all(|i| w.held(i) == 40),
        "jobs that are over are not carried along"
    );

    // A takeover reads the records once, and tells each agent the new term at most once.
    let l = w.leader().unwrap();
    w.costs = Costs::default();
    w.crash(l, 4 * SEC);
    w.run(15);
    assert!(w.leader().is_some_and(|x| x != l));
    assert!(w.costs.orders <= 300, "{:?}", w.costs);
    assert!(
        w.costs.requests < 400 && w.costs.changes < 20,
        "{:?}",
        w.costs
    );
    assert_eq!(
        w.starts.values().sum::<u32>(),
        tasks,
        "nothing starts twice"
    );
}

#[test]
fn a_team_gets_its_guarantee_back_from_whoever_runs_beyond_theirs() {
    let mut w = settled(37, 2);
    // Team green has 8 GPUs guaranteed, blue none; nothing more can be rented.
    w.no_capacity = true;
    w.user("req-1", job(JobKind::Array, 16, 1.0), 300 * SEC);
    w.run(10);
    assert_eq!(w.starts.len(), 16, "blue borrows all there is");
    let green = |kind, tasks, gpus| {
        let mut j = job(kind, tasks, gpus);
        j.team = "green".into();
        j
    };
    w.user("req-2", green(JobKind::Gang, 1, 6.0), 300 * SEC);
    w.user("req-3", green(JobKind::Array, 2, 1.0), 300 * SEC);
    // Another controller may be the quicker one.
    w.run(1);
    w.user("req-4", green(JobKind::Array, 2, 1.0), 300 * SEC);
    w.run(40);
    let running = |w: &World, id: &str, n| {
        (0..n)
            .filter(|t| w.on(&format!("{id}/{t}")).len() == 1)
            .count()
    };
    assert_eq!((running(&w, "req-2", 1), running(&w, "req-3", 2)), (1, 2));
    assert_eq!(
        running(&w, "req-4", 2),
        0,
        "beyond the guarantee it waits like others"
    );
}

#[test]
fn a_gang_is_not_tried_again_on_the_machine_that_failed_it() {
    let mut w = settled(34, 3);
    let busy = ["n-000002", "n-000003"];
    w.agents.get_mut("n-000001").unwrap().errors = true;
    // The sick machine is the empty one, which looks best to a gang of whole machines.
    for (i, _) in busy.iter().enumerate() {
        w.user(&format!("req-{i}"), job(JobKind::Service, 1, 1.0), 0);
    }
    w.run(4);
    w.user("req-7", job(JobKind::Gang, 1, 8.0), 4 * SEC);
    w.user("req-8", job(JobKind::Gang, 1, 8.0), 4 * SEC);
    w.run(60);
    assert!(w.job_done("req-7") && w.job_done("req-8"));
    assert!(
        w.starts["req-7/0"] <= 2 && w.starts["req-8/0"] <= 2,
        "{:?}",
        w.starts
    );
}

#[test]
fn a_job_that_fails_everywhere_leaves_the_machines_to_others() {
    let mut w = settled(35, 3);
    w.user("req-1", job(JobKind::Array, 12, 1.0), 2 * SEC);
    w.broken_jobs.insert("req-1".into());
    w.run(30);
    for i in 2..8 {
        w.user(&format!("req-{i}"), job(JobKind::Array, 2, 2.0), 2 * SEC);
    }
    w.run(60);
    assert!((2..8).all(|i| w.job_done(&format!("req-{i}"))));
    let tries: u32 = (0..12)
        .filter_map(|t| w.starts.get(&format!("req-1/{t}")))
        .sum();
    assert!(tries < 120, "{tries} starts in 90 s");
}

#[test]
fn a_controller_that_leads_twice_rents_under_new_names() {
    let mut w = settled(19, 1);
    w.user("req-1", job(JobKind::Service, 1, 8.0), 0);
    w.user("req-2", job(JobKind::Service, 1, 8.0), 0);
    w.run(80);
    let first = w.leader().unwrap();
    // Its lead goes round once and comes back, in the same run of its process.
    w.store.refuses = vec![first];
    w.run(15);
    w.store.refuses = (0..3).filter(|i| *i != first).collect();
    w.run(60);
    assert_eq!(w.leader(), Some(first));
    w.store.refuses.clear();
    w.user("req-3", job(JobKind::Service, 1, 8.0), 0);
    w.run(40);
    assert_eq!(w.told("req-3"), "running", "{}", w.dump());
}

#[test]
fn a_spot_notice_moves_nothing_onto_the_machine_and_work_goes_on() {
    let mut w = World::new(18, 3, 1);
    let m = w.machine("b", true);
    w.run(8);
    let mut spec = job(JobKind::Array, 10, 1.0);
    spec.spot = true;
    spec.checkpoint_s = 5.0;
    spec.save_s = 2.0;
    w.user("req-1", spec, 20 * SEC);
    w.run(6);
    w.agents.get_mut(&m).unwrap().notice = Some(10.0);
    w.after(10 * SEC, move |w| {
        w.agents.get_mut(&m).unwrap().alive = false
    });
    w.run(120);
    assert!(w.job_done("req-1"));
}
