//! Encoding and decoding of heartbeats between controllers, also in other formats, truncated, too long, or corrupted.

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

/// Format 5 has no fields for cancellations: its heartbeats end before them.
#[test]
fn a_heartbeat_of_the_previous_format_has_no_cancellations() {
    let sent = heartbeat(3);
    let bytes = postcard::to_stdvec(&sent).unwrap();
    let bytes = postcard::to_extend(&(format::LEASE_DELEGATION, 30_000u64, 4u64), bytes).unwrap();
    let bytes =
        postcard::to_extend(&(sent.delegation.unwrap(), &sent.record_summary), bytes).unwrap();
    let decoded = PeerHeartbeat::decode(&bytes).unwrap();
    assert_eq!(
        (decoded.format, decoded.delegation),
        (format::LEASE_DELEGATION, sent.delegation)
    );
    assert_eq!(
        (decoded.cancellation_cursor, decoded.cancellation_update),
        (None, None),
        "cancellation fields decoded from format 5"
    );
    // A version that reads only format 5 finds its fields at the same positions in a heartbeat of the newest format.
    let encoded = sent.encode();
    let (_, rest) = postcard::take_from_bytes::<PeerHeartbeat>(&encoded).unwrap();
    let (_, rest) = postcard::take_from_bytes::<(u32, u64, u64)>(rest).unwrap();
    let (more, record_summary): (LeaseDelegationStatus, Option<RecordSummary>) =
        postcard::from_bytes(rest).unwrap();
    assert_eq!(
        (Some(more), record_summary),
        (sent.delegation, sent.record_summary)
    );
}

#[test]
fn known_fields_of_a_newer_format_are_decoded() {
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
        decode_changed(|update| update.jobs[1].0 = "req-".into()),
        invalid,
        "job id without a name"
    );
    assert_eq!(
        decode_changed(|update| update.jobs[0].0 = "../req-1".into()),
        invalid,
        "job id with a path"
    );
    assert_eq!(
        decode_changed(|update| update.next_entry = 2),
        invalid,
        "next_entry is before first_entry"
    );
    assert_eq!(
        decode_changed(|update| update.peer_coverage_ages = vec![("kernel-9".into(), 1); 65]),
        invalid,
        "too many peers"
    );
    assert_eq!(
        PeerHeartbeat::decode(&heartbeat(MAX_CANCELLATIONS + 1).encode()),
        invalid,
        "too many cancellations"
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

/// Truncation is detected at every position but one: the fields before `format` are a valid heartbeat of the first
/// version. This is harmless, because such a heartbeat is only treated like one that the first version sent.
#[test]
fn a_truncated_heartbeat_is_rejected() {
    let sent = heartbeat(3);
    let bytes = sent.encode();
    let first_version = postcard::to_stdvec(&sent).unwrap().len();
    for length in 0..bytes.len() {
        let decoded = PeerHeartbeat::decode(&bytes[..length]);
        let is_valid = length == first_version;
        assert_eq!(
            decoded.is_ok(),
            is_valid,
            "truncated to {length} of {} bytes, expected valid: {is_valid}, decoded: {decoded:?}",
            bytes.len()
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        // Use the same cases in each run and write no file of failures.
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_bytes_never_decode_to_too_many_cancellations(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(heartbeat) = PeerHeartbeat::decode(&bytes)
            && let Some(update) = heartbeat.cancellation_update
        {
            prop_assert!(update.jobs.len() <= MAX_CANCELLATIONS, "{} cancellations decoded", update.jobs.len());
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
        if let Ok(PeerHeartbeat { cancellation_update: Some(update), .. }) = PeerHeartbeat::decode(&bytes) {
            prop_assert!(update.first_entry <= update.next_entry, "first_entry {} is after next_entry {}", update.first_entry, update.next_entry);
            prop_assert!(update.jobs.iter().all(|(id, _)| is_valid_job_id(id)), "invalid job id in {:?}", update.jobs);
        }
    }
}
