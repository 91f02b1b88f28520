//! What controllers tell one another, as bytes: of every format, cut short, too long, or made up.

use proptest::prelude::*;
use walnuttrestle::protocol::format;
use walnuttrestle::protocol::peer_messages::{
    CancellationCursor, CancellationNews, HeartbeatExtension, InvalidPeerHeartbeat, LogPosition,
    MOST_CANCELLATIONS, PeerHeartbeat, RecordSummary,
};
use walnuttrestle::protocol::records::LeaderRecord;

fn beat(jobs: usize) -> PeerHeartbeat {
    let job = |n: usize| (format!("req-{n:06}"), 400 + n as u64);
    PeerHeartbeat {
        node: "kernel-1".into(),
        leading: Some(7),
        leader_silent_ms: Some(300),
        newest: Some(412),
        served: true,
        format: format::NEWEST,
        asks: 30_000,
        epoch: 4,
        more: Some(HeartbeatExtension {
            run: 77,
            right: Some(7),
            used_ago: None,
            quiet: false,
        }),
        record_summary: Some(RecordSummary {
            lead: LeaderRecord {
                node: "kernel-0".into(),
                incarnation: 3,
                term: 7,
            },
            revision: 411,
            cancelled: vec!["req-000009".into()],
            known: vec![("kernel-2".into(), 12)],
        }),
        knows: Some(CancellationCursor {
            complete: 400,
            heard: LogPosition { run: 78, next: 3 },
        }),
        news: Some(CancellationNews {
            lead: 12,
            from: 3,
            next: 3 + jobs as u64,
            more: false,
            jobs: (0..jobs).map(job).collect(),
            known: vec![("kernel-2".into(), 700_000)],
        }),
    }
}

#[test]
fn what_is_sent_is_what_is_heard() {
    for jobs in [0, 1, MOST_CANCELLATIONS] {
        let sent = beat(jobs);
        assert_eq!(PeerHeartbeat::decode(&sent.encode()), Ok(sent));
    }
}

/// A sender of format 5 ends before the cancellations; nothing is read into its message.
#[test]
fn a_heartbeat_of_the_format_before_has_no_cancellations() {
    let ours = beat(3);
    let known = postcard::to_stdvec(&ours).unwrap();
    let known = postcard::to_extend(&(format::RIGHTS, 30_000u64, 4u64), known).unwrap();
    let sent = postcard::to_extend(&(ours.more.unwrap(), &ours.record_summary), known).unwrap();
    let heard = PeerHeartbeat::decode(&sent).unwrap();
    assert_eq!((heard.format, heard.more), (format::RIGHTS, ours.more));
    assert_eq!((heard.knows, heard.news), (None, None));
    // What a version of that format reads of ours is the same to the byte.
    let all = ours.encode();
    let (_, rest) = postcard::take_from_bytes::<PeerHeartbeat>(&all).unwrap();
    let (_, rest) = postcard::take_from_bytes::<(u32, u64, u64)>(rest).unwrap();
    let (more, record_summary): (HeartbeatExtension, Option<RecordSummary>) =
        postcard::from_bytes(rest).unwrap();
    assert_eq!(
        (Some(more), record_summary),
        (ours.more, ours.record_summary)
    );
}

#[test]
fn a_newer_format_is_read_as_far_as_it_is_known() {
    let sent = PeerHeartbeat {
        format: format::NEWEST + 1,
        ..beat(2)
    };
    let mut bytes = sent.encode();
    bytes.extend([1, 2, 3]);
    assert_eq!(PeerHeartbeat::decode(&bytes), Ok(sent));
}

#[test]
fn what_cannot_be_is_refused_as_a_whole() {
    let bad = |change: fn(&mut CancellationNews)| {
        let mut b = beat(2);
        b.news.iter_mut().for_each(change);
        PeerHeartbeat::decode(&b.encode())
    };
    let impossible = Err(InvalidPeerHeartbeat::Cancellations);
    assert_eq!(bad(|n| n.jobs[1].0 = "req-".into()), impossible);
    assert_eq!(bad(|n| n.jobs[0].0 = "../req-1".into()), impossible);
    assert_eq!(bad(|n| n.next = 2), impossible);
    assert_eq!(
        bad(|n| n.known = vec![("kernel-9".into(), 1); 65]),
        impossible
    );
    assert_eq!(
        PeerHeartbeat::decode(&beat(MOST_CANCELLATIONS + 1).encode()),
        impossible
    );
    let none = PeerHeartbeat {
        format: 0,
        ..beat(1)
    };
    assert_eq!(
        PeerHeartbeat::decode(&none.encode()),
        Err(InvalidPeerHeartbeat::NoFormat)
    );
    let mut long = beat(1).encode();
    long.push(0);
    assert_eq!(
        PeerHeartbeat::decode(&long),
        Err(InvalidPeerHeartbeat::TooLong(1))
    );
}

/// The first version's message ends where ours names its format. Any other cut is noticed; at that one, what is left
/// is true, and vouches for no more than the first version's does.
#[test]
fn a_message_that_is_cut_short_is_dropped() {
    let sent = beat(3);
    let bytes = sent.encode();
    let first = postcard::to_stdvec(&sent).unwrap().len();
    for n in 0..bytes.len() {
        let heard = PeerHeartbeat::decode(&bytes[..n]);
        assert_eq!(heard.is_ok(), n == first, "cut at {n}: {heard:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        // No file of its own, and the same cases each time.
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_bytes_whatsoever_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(h) = PeerHeartbeat::decode(&bytes)
            && let Some(news) = h.news
        {
            prop_assert!(news.jobs.len() <= MOST_CANCELLATIONS);
        }
    }

    #[test]
    fn one_wrong_byte_makes_nothing_that_cannot_be(at in 0usize..200, to in any::<u8>()) {
        let mut bytes = beat(4).encode();
        let at = at % bytes.len();
        bytes[at] = to;
        if let Ok(PeerHeartbeat { news: Some(news), .. }) = PeerHeartbeat::decode(&bytes) {
            prop_assert!(news.from <= news.next);
            let fine = |id: &String| walnuttrestle::protocol::job::valid_id(id);
            prop_assert!(news.jobs.iter().all(|(id, _)| fine(id)));
        }
    }
}
