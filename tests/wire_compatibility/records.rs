//! Encoding of keys and values in the key-value store.

use crate::fixtures::{Fixtures, array, hex, map, strings};
use crate::samples::{
    chunk, full_spec, grant, machine_types, plain_job, plain_spec, plain_spec_fields,
};
use rmpv::Value;
use walnuttrestle::protocol::cloud_api::MachineTypes;
use walnuttrestle::protocol::codec::{decode, encode};
use walnuttrestle::protocol::format;
use walnuttrestle::protocol::records::{
    self, BudgetSharesRecord, JobRecord, JobStage, LeaderRecord, PlacementBatch, RenewalsRecord,
    TaskChunk,
};
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Priority};

#[test]
fn record_keys_are_stable() {
    let mut fixtures = Fixtures::open("record_keys.hex");
    let keys = [
        ("root", records::KEY_PREFIX.to_string()),
        ("lead", records::LEADER_KEY.to_string()),
        ("live", records::LEADER_LEASE_KEY.to_string()),
        ("types", records::MACHINE_TYPES_KEY.to_string()),
        ("base", records::BASELINE_MACHINES_KEY.to_string()),
        ("jobs", records::JOBS_PREFIX.to_string()),
        ("chunks", records::CHUNKS_PREFIX.to_string()),
        ("renewals", records::RENEWALS_PREFIX.to_string()),
        ("formats", records::FORMATS_PREFIX.to_string()),
        ("bundles", records::PLACEMENT_BATCHES_PREFIX.to_string()),
        ("bundled", records::NEWEST_PLACEMENT_BATCH_KEY.to_string()),
        ("parts", records::BUDGET_SHARES_KEY.to_string()),
        ("job", records::job_key("req-17")),
        ("chunk", records::chunk_key("req-17", 3)),
        ("bundle", records::placement_batch_key(12)),
        ("format", records::format_key("kernel-1")),
        ("renewal_part_0", records::renewals_key("kernel-1", 0)),
        ("renewal_part_2", records::renewals_key("kernel-1", 2)),
    ];
    for (name, key) in keys {
        fixtures.check_encoding(name, key.as_bytes());
    }
    assert_eq!(records::placement_batch_number("wt/b/12"), Some(12));
    assert_eq!(records::TASKS_PER_CHUNK, 48);
    fixtures.finish();
}

#[test]
fn stored_record_encoding_is_stable() {
    let mut fixtures = Fixtures::open("records.hex");
    check_small_records(&mut fixtures);
    check_job_records(&mut fixtures);
    check_renewal_records(&mut fixtures);
    fixtures.finish();
}

fn check_small_records(fixtures: &mut Fixtures) {
    let leader = LeaderRecord {
        node: "kernel-1".into(),
        incarnation: u64::MAX >> 1,
        term: 7,
    };
    fixtures.check_record("lead", &leader);
    fixtures.check_record("live", &"kernel-1".to_string());
    fixtures.check_record("base", &1900u64);
    fixtures.check_record("bundled", &3u32);
    for number in format::FIRST..=format::NEWEST {
        fixtures.check_record(&format!("format_{number}"), &number);
    }
    fixtures.check_record("machine_types", &machine_types());
    fixtures.check_record("machine_types_none", &MachineTypes { types: Vec::new() });
    fixtures.check_record("parts", &BudgetSharesRecord::from_grant(&grant()));
    fixtures.check_record("parts_none", &BudgetSharesRecord::default());
    let budget_shares: BudgetSharesRecord = decode(&fixtures.used["parts"]).unwrap();
    assert_eq!(budget_shares.into_grant(), grant());
    let batch = PlacementBatch {
        placements: vec![
            ("req-1".into(), chunk().entries),
            ("req-2".into(), Vec::new()),
        ],
    };
    fixtures.check_record("bundle", &batch);
    fixtures.check_record("bundle_empty", &PlacementBatch::default());
}

fn check_job_records(fixtures: &mut Fixtures) {
    let full = JobRecord {
        spec: full_spec(),
        stage: JobStage::Cancelled,
        ended_at: Micros(1_700_000_100_000_001),
        first_chunk: chunk(),
        cleaned: true,
        ..plain_job()
    };
    fixtures.check_record("job_plain", &plain_job());
    fixtures.check_record("job_full", &full);
    let done = JobRecord {
        stage: JobStage::Done,
        spec: JobSpec {
            kind: JobKind::Service,
            priority: Priority::Low,
            ..plain_spec()
        },
        ..full.clone()
    };
    fixtures.check_record("job_done", &done);
    let kind = |kind| JobSpec {
        kind,
        ..plain_spec()
    };
    fixtures.check_record("spec_array", &kind(JobKind::Array));
    fixtures.check_record("spec_gang", &kind(JobKind::Gang));
    fixtures.check_record("spec_service", &kind(JobKind::Service));
    let priority = |priority| JobSpec {
        priority,
        ..plain_spec()
    };
    fixtures.check_record("spec_low", &priority(Priority::Low));
    fixtures.check_record("spec_normal", &priority(Priority::Normal));
    fixtures.check_record("spec_high", &priority(Priority::High));
    fixtures.check_record("spec_production", &priority(Priority::Production));
    fixtures.check_record("chunk", &chunk());
    fixtures.check_record("chunk_empty", &TaskChunk::default());
    check_old_job_records(fixtures);
}

/// Checks records written by older versions, which lack the optional fields, and by a newer version with a field that
/// this one does not define.
fn check_old_job_records(fixtures: &mut Fixtures) {
    let time = 1_700_000_000_000_000u64;
    let minimal = map([
        ("s", Value::Map(plain_spec_fields())),
        ("at", time.into()),
        ("st", "a".into()),
    ]);
    fixtures.check_decoding("job_without_optional_fields", &minimal, &plain_job());
    let first_version = map([
        ("s", Value::Map(plain_spec_fields())),
        ("at", time.into()),
        ("st", "a".into()),
        ("end", 0.into()),
        ("c", map([("e", array([])), ("d", 0.into())])),
    ]);
    fixtures.check_decoding("job_of_first_version", &first_version, &plain_job());
    let rewritten: JobRecord = decode(&fixtures.used["job_of_first_version"]).unwrap();
    let stored = &fixtures.used["job_of_first_version"];
    assert_eq!(hex(&encode(&rewritten)), hex(stored));
    let with_unknown_field = map([
        ("s", Value::Map(plain_spec_fields())),
        ("at", time.into()),
        ("st", "a".into()),
        ("unknown_field", 1.into()),
    ]);
    fixtures.check_decoding("job_with_unknown_field", &with_unknown_field, &plain_job());
    fixtures.check_decoding("chunk_without_fields", &map([]), &TaskChunk::default());
}

fn check_renewal_records(fixtures: &mut Fixtures) {
    let machines = strings(["n-000017", "n-000018", "n-000900", "x", "xy", "é1", "éa"]);
    let record = RenewalsRecord::new(7, machines.iter());
    fixtures.check_record("renewal", &record);
    let decoded: RenewalsRecord = decode(&fixtures.used["renewal"]).unwrap();
    assert_eq!(decoded.term, 7);
    assert_eq!(decoded.machines(), machines);
    fixtures.check_record("renewal_none", &RenewalsRecord::new(7, [].into_iter()));
    let split_records = RenewalsRecord::split(7, machines.iter(), 60);
    assert!(
        split_records.len() > 1,
        "expected several records, found {}",
        split_records.len()
    );
    for (index, record) in split_records.iter().enumerate() {
        fixtures.check_record(&format!("renewal_split_{index}"), record);
    }
}
