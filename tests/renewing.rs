//! A follower that renews leases for a leader out of reach is bound as the leader itself is (docs/safety.md, line 14). The
//! cloud is out of reach, too: else the machines would be returned in time (line 17).

mod world;

use walnuttrestle::protocol::JobKind;
use world::{CANCEL_S, Cut, Party, SEC, World, job, settled};

/// A world in which a follower alone reaches half of the machines, and renews them on record; no cloud. The leader has the
/// other half, or it would give the lead away. With it: that follower, and another controller.
fn renewed(seed: u64) -> (World, usize, usize) {
    let mut w = settled(seed, 4);
    w.user("req-1", job(JobKind::Service, 4, 1.0), 0);
    w.user("req-2", job(JobKind::Array, 4, 1.0), 300 * SEC);
    w.run(10);
    let l = w.leader().expect("a leader");
    let (f, t) = ((l + 1) % 3, (l + 2) % 3);
    for m in w.names().into_iter().take(2) {
        for i in [l, t] {
            w.cut(
                Party::Controller(i),
                Party::Agent(m.clone()),
                Cut::Drop,
                120 * SEC,
            );
        }
    }
    // It cannot hand reports on either.
    w.cut(
        Party::Controller(l),
        Party::Controller(f),
        Cut::Drop,
        120 * SEC,
    );
    w.cloud_down = true;
    w.run(9);
    assert_eq!(
        w.there("req-2"),
        4,
        "seed {seed}: kept by the follower\n{}",
        w.dump()
    );
    (w, f, t)
}

#[test]
fn a_follower_that_renews_stops_what_is_cancelled() {
    for seed in 0..8 {
        let (mut w, _, t) = renewed(6300 + seed);
        w.cancel(t, "req-2");
        w.run(CANCEL_S + 5);
        w.assert_cancelled(seed, &["req-2"]);
        assert_eq!(w.there("req-1"), 4, "seed {seed}: renewed on\n{}", w.dump());
    }
}

#[test]
fn a_follower_that_renews_lets_go_once_it_reads_and_hears_nothing() {
    for seed in 0..8 {
        let (mut w, f, t) = renewed(6320 + seed);
        let how = [Cut::Drop, Cut::Hold][seed as usize % 2];
        w.cut(Party::Controller(f), Party::StoreClient, how, 70 * SEC);
        for i in (0..3).filter(|i| *i != f) {
            w.cut(Party::Controller(f), Party::Controller(i), how, 70 * SEC);
        }
        w.run(2);
        w.cancel(t, "req-2");
        w.run(CANCEL_S + 5);
        w.assert_cancelled(seed, &["req-2"]);
    }
}
