//! Encoding and decoding of heartbeats between controllers: of other formats, truncated, too long, or corrupted.

use proptest::prelude::*;
use walnuttrestle::protocol::format;
use walnuttrestle::protocol::job::is_valid_job_id;
use walnuttrestle::protocol::peer_messages::{
    CancellationCursor, CancellationUpdate, InvalidPeerHeartbeat, LeaseDelegationStatus,
    LogPosition, MAX_CANCELLATIONS, PeerHeartbeat, RecordSummary,
};
use walnuttrestle::protocol::records::LeaderRecord;

/// Returns a heartbeat of the newest format with this number of cancellations.
fn heartbeat(jobs: usize) -> PeerHeartbeat {
    let job = |number: usize| (format!("req-{number:06}"), 400 + number as u64);
    PeerHeartbeat {
        node: "kernel-1".into(),
        leading_term: Some(7),
        leader_silent_ms: Some(300),
        newest_revision: Some(412),
        store_available: true,
        format: format::NEWEST,
        requested_writes: 30_000,
        grant_epoch: 4,
        delegation: Some(LeaseDelegationStatus {
            incarnation: 77,
            delegated_term: Some(7),
            last_use_age_us: None,
            pledges_silence: false,
        }),
        record_summary: Some(RecordSummary {
            leader: LeaderRecord {
                node: "kernel-0".into(),
                incarnation: 3,
                term: 7,
            },
            revision: 411,
            cancelled_jobs: vec!["req-000009".into()],
            peer_coverage_ages: vec![("kernel-2".into(), 12)],
        }),
        cancellation_cursor: Some(CancellationCursor {
            complete_revision: 400,
            log_position: LogPosition {
                incarnation: 78,
                next_entry: 3,
            },
        }),
        cancellation_update: Some(CancellationUpdate {
            leader_version: 12,
            first_entry: 3,
            next_entry: 3 + jobs as u64,
            has_more: false,
            jobs: (0..jobs).map(job).collect(),
            peer_coverage_ages: vec![("kernel-2".into(), 700_000)],
        }),
    }
}

#[test]
fn a_heartbeat_survives_encoding_and_decoding() {
    for jobs in [0, 1, MAX_CANCELLATIONS] {
        let sent = heartbeat(jobs);
        assert_eq!(PeerHeartbeat::decode(&sent.encode()), Ok(sent));
    }
}

/// A heartbeat of format 5 ends before the cancellations.
#[test]
fn a_heartbeat_of_the_previous_format_has_no_cancellations() {
    let ours = heartbeat(3);
    let bytes = postcard::to_stdvec(&ours).unwrap();
    let bytes = postcard::to_extend(&(format::LEASE_DELEGATION, 30_000u64, 4u64), bytes).unwrap();
    let bytes =
        postcard::to_extend(&(ours.delegation.unwrap(), &ours.record_summary), bytes).unwrap();
    let decoded = PeerHeartbeat::decode(&bytes).unwrap();
    assert_eq!(
        (decoded.format, decoded.delegation),
        (format::LEASE_DELEGATION, ours.delegation)
    );
    assert_eq!(
        (decoded.cancellation_cursor, decoded.cancellation_update),
        (None, None)
    );
    // A version of that format finds its fields in ours at the same place.
    let encoded = ours.encode();
    let (_, rest) = postcard::take_from_bytes::<PeerHeartbeat>(&encoded).unwrap();
    let (_, rest) = postcard::take_from_bytes::<(u32, u64, u64)>(rest).unwrap();
    let (more, record_summary): (LeaseDelegationStatus, Option<RecordSummary>) =
        postcard::from_bytes(rest).unwrap();
    assert_eq!(
        (Some(more), record_summary),
        (ours.delegation, ours.record_summary)
    );
}

#[test]
fn of_a_newer_format_the_known_fields_are_decoded() {
    let sent = PeerHeartbeat {
        format: format::NEWEST + 1,
        ..heartbeat(2)
    };
    let mut bytes = sent.encode();
    bytes.extend([1, 2, 3]);
    assert_eq!(PeerHeartbeat::decode(&bytes), Ok(sent));
}

#[test]
fn a_heartbeat_with_one_invalid_field_is_rejected_as_a_whole() {
    let decode_changed = |change: fn(&mut CancellationUpdate)| {
        let mut heartbeat = heartbeat(2);
        heartbeat.cancellation_update.iter_mut().for_each(change);
        PeerHeartbeat::decode(&heartbeat.encode())
    };
    let invalid = Err(InvalidPeerHeartbeat::InvalidCancellations);
    assert_eq!(
        decode_changed(|news| news.jobs[1].0 = "req-".into()),
        invalid
    );
    assert_eq!(
        decode_changed(|news| news.jobs[0].0 = "../req-1".into()),
        invalid
    );
    assert_eq!(decode_changed(|news| news.next_entry = 2), invalid);
    assert_eq!(
        decode_changed(|news| news.peer_coverage_ages = vec![("kernel-9".into(), 1); 65]),
        invalid
    );
    assert_eq!(
        PeerHeartbeat::decode(&heartbeat(MAX_CANCELLATIONS + 1).encode()),
        invalid
    );
    let no_format = PeerHeartbeat {
        format: 0,
        ..heartbeat(1)
    };
    assert_eq!(
        PeerHeartbeat::decode(&no_format.encode()),
        Err(InvalidPeerHeartbeat::ZeroFormat)
    );
    let mut too_long = heartbeat(1).encode();
    too_long.push(0);
    assert_eq!(
        PeerHeartbeat::decode(&too_long),
        Err(InvalidPeerHeartbeat::TrailingBytes(1))
    );
}

/// A heartbeat of the first version ends where ours states its format. Truncation at any other place is detected; at
/// that one, the rest is a valid heartbeat of the first version, which vouches for no more than those do.
#[test]
fn a_truncated_heartbeat_is_rejected() {
    let sent = heartbeat(3);
    let bytes = sent.encode();
    let first_version = postcard::to_stdvec(&sent).unwrap().len();
    for length in 0..bytes.len() {
        let decoded = PeerHeartbeat::decode(&bytes[..length]);
        let is_valid = length == first_version;
        assert_eq!(decoded.is_ok(), is_valid, "cut at {length}: {decoded:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        // The same cases in each run, and no file of failures.
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_never_decode_to_too_many_cancellations(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(heartbeat) = PeerHeartbeat::decode(&bytes)
            && let Some(news) = heartbeat.cancellation_update
        {
            prop_assert!(news.jobs.len() <= MAX_CANCELLATIONS);
        }
    }

    #[test]
    fn a_corrupted_byte_never_decodes_to_invalid_cancellations(
        position in 0usize..200,
        replacement in any::<u8>(),
    ) {
        let mut bytes = heartbeat(4).encode();
        let position = position % bytes.len();
        bytes[position] = replacement;
        if let Ok(PeerHeartbeat { cancellation_update: Some(news), .. }) = PeerHeartbeat::decode(&bytes) {
            prop_assert!(news.first_entry <= news.next_entry);
            prop_assert!(news.jobs.iter().all(|(id, _)| is_valid_job_id(id)));
        }
    }
}
