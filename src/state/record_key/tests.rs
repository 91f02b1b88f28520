//! Tests of the classification of keys.

use super::*;
use crate::protocol::records::{bundle_key, chunk_key, format_key, job_key, renew_key};

#[test]
fn every_key_that_we_write_is_classified() {
    let cases = [
        (LEAD.to_string(), RecordKey::Leader),
        (LIVE.to_string(), RecordKey::LeaderLease),
        (TYPES.to_string(), RecordKey::MachineTypes),
        (BASE.to_string(), RecordKey::InitialMachines),
        (PARTS.to_string(), RecordKey::BudgetShares),
        (BUNDLED.to_string(), RecordKey::BatchHead),
        (bundle_key(7), RecordKey::Batch(Some(7))),
        (renew_key("node-1", 0), RecordKey::Renewals("node-1")),
        (renew_key("node-1", 2), RecordKey::Renewals("node-1/2")),
        (format_key("node-1"), RecordKey::Format("node-1")),
        (job_key("job-1"), RecordKey::Job("job-1")),
        (
            chunk_key("job-1", 3),
            RecordKey::Chunk {
                job: "job-1",
                number: 3,
            },
        ),
    ];
    for (key, expected) in cases {
        assert_eq!(RecordKey::parse(&key), expected, "{key}");
    }
}

#[test]
fn malformed_numbers_are_recognized() {
    let batch = format!("{BUNDLES}x");
    assert_eq!(RecordKey::parse(&batch), RecordKey::Batch(None));
    let chunk = format!("{CHUNKS}job-1/x");
    assert_eq!(RecordKey::parse(&chunk), RecordKey::Unknown);
    assert_eq!(RecordKey::parse("elsewhere"), RecordKey::Unknown);
}
