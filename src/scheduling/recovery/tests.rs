//! Tests.

use super::*;

fn lost(replicas: usize, singles: usize) -> LostTask {
    let mut l = LostTask::default();
    l.add(JobKind::Service, replicas);
    l.add(JobKind::Array, singles);
    l
}

#[test]
fn a_few_lost_tasks_are_no_recovery_and_many_are_until_the_last_is_back() {
    let mut r = Recovery::default();
    let at = |s: u64| Micros::millis(s * 1000);
    assert_eq!(r.observe(at(1), lost(3, 12), 100), None);
    assert_eq!(r.observe(at(2), lost(10, 20), 4_000), None);
    assert!(r.wave.is_none());
    assert!(r.observe(at(3), lost(10, 80), 4_000).is_some());
    assert!(r.wave.is_some());
    // It goes on while anything is missing; a second loss is told of.
    assert_eq!(r.observe(at(4), lost(0, 1), 4_000), None);
    assert!(r.wave.is_some());
    let second = r.observe(at(5), lost(100, 20), 4_000);
    assert!(second.is_some_and(|t| t.contains("120 tasks")));
    let told = r.observe(at(9), LostTask::default(), 4_000);
    assert!(told.is_some_and(|t| t.contains("120") && t.contains("6.0 s")));
    assert!(r.wave.is_none());
}
