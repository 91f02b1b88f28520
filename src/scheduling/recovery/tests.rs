//! Tests of the recovery tracker.

use super::*;

fn lost(replicas: usize, array_tasks: usize) -> LostTasks {
    let mut lost = LostTasks::default();
    lost.add(JobKind::Service, replicas);
    lost.add(JobKind::Array, array_tasks);
    lost
}

fn at(seconds: u64) -> Micros {
    Micros::millis(seconds * 1000)
}

#[test]
fn a_few_lost_tasks_do_not_start_a_recovery() {
    let mut recovery = Recovery::default();
    assert_eq!(recovery.observe(at(1), lost(3, 12), 100), None);
    assert_eq!(recovery.observe(at(2), lost(10, 20), 4_000), None);
    assert!(
        recovery.ongoing.is_none(),
        "still in progress: {recovery:?}"
    );
}

#[test]
fn a_recovery_lasts_until_no_task_is_lost() {
    let mut recovery = Recovery::default();
    assert_eq!(recovery.observe(at(2), lost(10, 20), 4_000), None);
    let started = recovery.observe(at(3), lost(10, 80), 4_000);
    assert_eq!(started, Some(RecoveryEvent::Started(lost(10, 80))));
    assert!(recovery.ongoing.is_some(), "no recovery is in progress");
    // The recovery continues while any task is lost.
    assert_eq!(recovery.observe(at(4), lost(0, 1), 4_000), None);
    assert!(recovery.ongoing.is_some(), "no recovery is in progress");
    // A second loss that exceeds the first is reported.
    let second = recovery.observe(at(5), lost(100, 20), 4_000);
    assert_eq!(second, Some(RecoveryEvent::Grown { lost: 120 }));
    let finished = recovery.observe(at(9), LostTasks::default(), 4_000);
    let expected = RecoveryEvent::Finished {
        peak: 120,
        duration: at(6),
    };
    assert_eq!(finished, Some(expected));
    assert!(
        recovery.ongoing.is_none(),
        "still in progress: {recovery:?}"
    );
}

#[test]
fn events_are_logged_as_an_event_and_its_fields() {
    let started = RecoveryEvent::Started(lost(10, 80)).to_string();
    assert_eq!(
        started,
        "recovery started replicas=10 gang_members=0 array_tasks=80"
    );
    let grown = RecoveryEvent::Grown { lost: 120 }.to_string();
    assert_eq!(grown, "recovery grown lost_tasks=120");
    let finished = RecoveryEvent::Finished {
        peak: 120,
        duration: at(6),
    };
    assert_eq!(
        finished.to_string(),
        "recovery finished peak_lost_tasks=120 duration_s=6.0"
    );
}
