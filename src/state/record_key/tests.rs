//! Tests of the classification of keys.

use super::*;
use crate::protocol::records::{chunk_key, format_key, job_key, placement_batch_key, renewals_key};

#[test]
fn every_key_that_we_write_is_classified() {
    let cases = [
        (LEADER_KEY.to_string(), RecordKey::Leader),
        (LEADER_LEASE_KEY.to_string(), RecordKey::LeaderLease),
        (MACHINE_TYPES_KEY.to_string(), RecordKey::MachineTypes),
        (
            BASELINE_MACHINES_KEY.to_string(),
            RecordKey::InitialMachines,
        ),
        (BUDGET_SHARES_KEY.to_string(), RecordKey::BudgetShares),
        (
            NEWEST_PLACEMENT_BATCH_KEY.to_string(),
            RecordKey::NewestBatch,
        ),
        (placement_batch_key(7), RecordKey::Batch(Some(7))),
        (renewals_key("node-1", 0), RecordKey::Renewals("node-1")),
        (renewals_key("node-1", 2), RecordKey::Renewals("node-1/2")),
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
fn malformed_keys_are_classified() {
    let batch = format!("{PLACEMENT_BATCHES_PREFIX}x");
    assert_eq!(RecordKey::parse(&batch), RecordKey::Batch(None));
    let chunk = format!("{CHUNKS_PREFIX}job-1/x");
    assert_eq!(RecordKey::parse(&chunk), RecordKey::Unknown);
    assert_eq!(RecordKey::parse("elsewhere"), RecordKey::Unknown);
}
