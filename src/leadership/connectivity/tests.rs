//! Tests of the health check and of redirects by an isolated controller.

use super::*;

const fn ms(milliseconds: u64) -> Micros {
    Micros::millis(milliseconds)
}

/// Calls `tick` every 100 ms from one time to another.
fn tick_between(connectivity: &mut Connectivity, from: u64, to: u64) {
    (from..=to)
        .step_by(100)
        .for_each(|time| connectivity.tick(ms(time)));
}

#[test]
fn health_check_fails_while_isolated_with_backoff_between_failures() {
    let mut connectivity = Connectivity::new(ms(0), true);
    tick_between(&mut connectivity, 0, 4_900);
    assert!(
        !connectivity.health_check_failing(),
        "health check fails 4.9 s after the last contact, expected after 5 s"
    );
    tick_between(&mut connectivity, 5_000, 5_200);
    assert!(
        connectivity.health_check_failing(),
        "health check does not fail 5.2 s after the last contact, expected after 5 s"
    );
    connectivity.on_peer_contact(ms(5_200));
    tick_between(&mut connectivity, 5_300, 6_000);
    assert!(
        !connectivity.health_check_failing(),
        "health check fails although a peer is in contact again"
    );
    // The second failure requires twice the time without contact.
    tick_between(&mut connectivity, 6_100, 15_100);
    assert!(
        !connectivity.health_check_failing(),
        "health check fails again 9.9 s after the last contact, expected after 10 s"
    );
    tick_between(&mut connectivity, 15_200, 15_400);
    assert!(
        connectivity.health_check_failing(),
        "health check does not fail again 10.2 s after the last contact, expected after 10 s"
    );
}

#[test]
fn silence_during_a_suspension_is_not_counted() {
    let mut connectivity = Connectivity::new(ms(0), true);
    tick_between(&mut connectivity, 0, 1_000);
    connectivity.tick(ms(31_000));
    let failing = connectivity.health_check_failing();
    let isolated = connectivity.is_isolated(ms(31_000));
    assert!(
        !failing && !isolated,
        "time of the suspension was counted: health check failing: {failing}, isolated: {isolated}"
    );
}

#[test]
fn agents_are_redirected_once_and_only_while_the_zone_is_reachable() {
    let mut connectivity = Connectivity::new(ms(0), true);
    tick_between(&mut connectivity, 0, 8_000);
    assert!(
        !connectivity.should_redirect("n-1", ms(8_000)),
        "agent redirected although no agent of another zone was in contact: the zone may be partitioned"
    );
    connectivity.on_remote_agent_contact(ms(8_000));
    assert!(
        connectivity.should_redirect("n-1", ms(8_000)),
        "agent not redirected by an isolated controller whose zone is reachable"
    );
    assert!(
        !connectivity.should_redirect("n-1", ms(11_000)),
        "agent redirected again after 3 s, although it returned because it found no other leader"
    );
    connectivity.on_store_contact(ms(12_000));
    assert!(
        !connectivity.should_redirect("n-2", ms(13_000)),
        "agent redirected 1 s after contact with the store"
    );
    let mut short_lease = Connectivity::new(ms(0), false);
    tick_between(&mut short_lease, 0, 8_000);
    short_lease.on_remote_agent_contact(ms(8_000));
    assert!(
        !short_lease.should_redirect("n-1", ms(8_000)),
        "agent redirected although its lease does not outlast failed heartbeats"
    );
}
