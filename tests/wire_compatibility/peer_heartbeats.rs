//! Encoding of heartbeats between controllers, in each format.

use crate::fixtures::{Fixtures, hex, strings};
use walnuttrestle::protocol::format;
use walnuttrestle::protocol::peer_messages::{
    CancellationCursor, CancellationUpdate, LeaseDelegationStatus, LogPosition, PeerHeartbeat,
    RecordSummary,
};
use walnuttrestle::protocol::records::LeaderRecord;

/// Returns a heartbeat with all fields that the format has.
fn heartbeat(format_number: u32) -> PeerHeartbeat {
    let since = |first: u32| format_number >= first;
    PeerHeartbeat {
        node: "kernel-1".into(),
        leading_term: Some(7),
        leader_silent_ms: Some(300),
        newest_revision: Some(412),
        store_available: true,
        format: format_number,
        requested_writes: if since(format::BUDGET_SHARES) {
            30_000
        } else {
            0
        },
        grant_epoch: if since(format::BUDGET_SHARES) { 4 } else { 0 },
        delegation: since(format::LEASE_DELEGATION).then_some(LeaseDelegationStatus {
            incarnation: 77,
            delegated_term: Some(7),
            last_use_age_us: Some(1_500_000),
            pledges_silence: true,
        }),
        record_summary: since(format::LEASE_DELEGATION).then(|| RecordSummary {
            leader: LeaderRecord {
                node: "kernel-0".into(),
                incarnation: 3,
                term: 7,
            },
            revision: 411,
            cancelled_jobs: strings(["req-000009", "req-10"]),
            peer_coverage_ages: vec![("kernel-2".into(), 12)],
        }),
        cancellation_cursor: since(format::CANCELLATIONS).then_some(CancellationCursor {
            complete_revision: 400,
            log_position: LogPosition {
                incarnation: 78,
                next_entry: 3,
            },
        }),
        cancellation_update: since(format::CANCELLATIONS).then(|| CancellationUpdate {
            leader_version: 12,
            first_entry: 3,
            next_entry: 5,
            has_more: true,
            jobs: vec![("req-1".into(), 408), ("req-2".into(), 409)],
            peer_coverage_ages: vec![("kernel-2".into(), 700_000)],
        }),
    }
}

/// Returns a heartbeat without any optional field.
fn bare_heartbeat(format_number: u32) -> PeerHeartbeat {
    PeerHeartbeat {
        leading_term: None,
        leader_silent_ms: None,
        newest_revision: None,
        store_available: false,
        record_summary: None,
        cancellation_cursor: None,
        cancellation_update: None,
        delegation: (format_number >= format::LEASE_DELEGATION)
            .then(LeaseDelegationStatus::default),
        ..heartbeat(format_number)
    }
}

/// Returns the bytes that the present code appends to a heartbeat of an older format: the default values of newer
/// fields.
fn appended_bytes(format_number: u32) -> &'static [u8] {
    match format_number {
        // `format`, and zero for `requested_writes` and `grant_epoch`.
        format::FIRST => &[1, 0, 0],
        format::PIPELINES | format::PLACEMENT_BATCHES => &[0, 0],
        // `None` for `cancellation_cursor` and `cancellation_update`.
        format::LEASE_DELEGATION => &[0, 0],
        _ => &[],
    }
}

fn check_heartbeat(fixtures: &mut Fixtures, name: &str, heartbeat: &PeerHeartbeat) {
    let encoded = heartbeat.encode();
    let appended = appended_bytes(heartbeat.format);
    let without_appended = encoded.strip_suffix(appended).expect(name);
    let stored = fixtures.check_encoding(name, without_appended);
    let decoded = PeerHeartbeat::decode(&stored).expect(name);
    assert_eq!(&decoded, heartbeat, "{name}: decoded to another value");
    let expected = [stored.as_slice(), appended].concat();
    assert_eq!(
        hex(&decoded.encode()),
        hex(&expected),
        "{name}: the decoded heartbeat has another encoding"
    );
}

#[test]
fn heartbeat_encoding_of_each_format_is_stable() {
    let mut fixtures = Fixtures::open("heartbeats.hex");
    assert_eq!(
        format::NEWEST,
        6,
        "add cases for the new format to this test"
    );
    for format_number in format::FIRST..=format::NEWEST {
        let name = format!("format_{format_number}");
        check_heartbeat(&mut fixtures, &name, &heartbeat(format_number));
        let name = format!("format_{format_number}_bare");
        check_heartbeat(&mut fixtures, &name, &bare_heartbeat(format_number));
    }
    let newer = PeerHeartbeat {
        format: format::NEWEST + 1,
        ..heartbeat(format::NEWEST)
    };
    let with_unknown_suffix = [newer.encode(), b"later".to_vec()].concat();
    let stored = fixtures.stored_bytes("format_7_with_unknown_end", with_unknown_suffix);
    assert_eq!(PeerHeartbeat::decode(&stored), Ok(newer));
    fixtures.finish();
}
