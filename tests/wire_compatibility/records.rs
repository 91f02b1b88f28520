//! Keys and values in the key-value store.

use crate::fixtures::{Fixtures, hex, list, map, strings};
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
fn record_keys_keep_their_bytes() {
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
        fixtures.written(name, key.as_bytes());
    }
    assert_eq!(records::placement_batch_number("wt/b/12"), Some(12));
    assert_eq!(records::TASKS_PER_CHUNK, 48);
    fixtures.finish();
}

#[test]
fn stored_records_keep_their_bytes() {
    let mut fixtures = Fixtures::open("records.hex");
    small_records(&mut fixtures);
    job_records(&mut fixtures);
    renewal_records(&mut fixtures);
    fixtures.finish();
}

fn small_records(fixtures: &mut Fixtures) {
    let lead = LeaderRecord {
        node: "kernel-1".into(),
        incarnation: u64::MAX >> 1,
        term: 7,
    };
    fixtures.record("lead", &lead);
    fixtures.record("live", &"kernel-1".to_string());
    fixtures.record("base", &1900u64);
    fixtures.record("bundled", &3u32);
    for number in format::FIRST..=format::NEWEST {
        fixtures.record(&format!("format_{number}"), &number);
    }
    fixtures.record("machine_types", &machine_types());
    fixtures.record("machine_types_none", &MachineTypes { types: Vec::new() });
    fixtures.record("parts", &BudgetSharesRecord::from_grant(&grant()));
    fixtures.record("parts_none", &BudgetSharesRecord::default());
    let parts: BudgetSharesRecord = decode(&fixtures.used["parts"]).unwrap();
    assert_eq!(parts.into_grant(), grant());
    let bundle = PlacementBatch {
        placements: vec![
            ("req-1".into(), chunk().entries),
            ("req-2".into(), Vec::new()),
        ],
    };
    fixtures.record("bundle", &bundle);
    fixtures.record("bundle_empty", &PlacementBatch::default());
}

fn job_records(fixtures: &mut Fixtures) {
    let full = JobRecord {
        spec: full_spec(),
        stage: JobStage::Cancelled,
        ended_at: Micros(1_700_000_100_000_001),
        first_chunk: chunk(),
        cleaned: true,
        ..plain_job()
    };
    fixtures.record("job_plain", &plain_job());
    fixtures.record("job_full", &full);
    let done = JobRecord {
        stage: JobStage::Done,
        spec: JobSpec {
            kind: JobKind::Service,
            priority: Priority::Low,
            ..plain_spec()
        },
        ..full.clone()
    };
    fixtures.record("job_done", &done);
    let kind = |kind| JobSpec {
        kind,
        ..plain_spec()
    };
    fixtures.record("spec_array", &kind(JobKind::Array));
    fixtures.record("spec_gang", &kind(JobKind::Gang));
    fixtures.record("spec_service", &kind(JobKind::Service));
    let priority = |priority| JobSpec {
        priority,
        ..plain_spec()
    };
    fixtures.record("spec_low", &priority(Priority::Low));
    fixtures.record("spec_normal", &priority(Priority::Normal));
    fixtures.record("spec_high", &priority(Priority::High));
    fixtures.record("spec_production", &priority(Priority::Production));
    fixtures.record("chunk", &chunk());
    fixtures.record("chunk_empty", &TaskChunk::default());
    old_job_records(fixtures);
}

/// Records as versions wrote them that knew none of the optional fields.
fn old_job_records(fixtures: &mut Fixtures) {
    let time = 1_700_000_000_000_000u64;
    let old = map([
        ("s", Value::Map(plain_spec_fields())),
        ("at", time.into()),
        ("st", "a".into()),
    ]);
    fixtures.read_as("job_without_optional_fields", &old, &plain_job());
    let first_version = map([
        ("s", Value::Map(plain_spec_fields())),
        ("at", time.into()),
        ("st", "a".into()),
        ("end", 0.into()),
        ("c", map([("e", list([])), ("d", 0.into())])),
    ]);
    fixtures.read_as("job_of_first_version", &first_version, &plain_job());
    let rewritten: JobRecord = decode(&fixtures.used["job_of_first_version"]).unwrap();
    let stored = &fixtures.used["job_of_first_version"];
    assert_eq!(hex(&encode(&rewritten)), hex(stored));
    let newer = map([
        ("s", Value::Map(plain_spec_fields())),
        ("at", time.into()),
        ("st", "a".into()),
        ("unknown_field", 1.into()),
    ]);
    fixtures.read_as("job_with_unknown_field", &newer, &plain_job());
    fixtures.read_as("chunk_without_fields", &map([]), &TaskChunk::default());
}

fn renewal_records(fixtures: &mut Fixtures) {
    let machines = strings(["n-000017", "n-000018", "n-000900", "x", "xy", "é1", "éa"]);
    let record = RenewalsRecord::new(7, machines.iter());
    fixtures.record("renewal", &record);
    let decoded: RenewalsRecord = decode(&fixtures.used["renewal"]).unwrap();
    assert_eq!(decoded.term, 7);
    assert_eq!(decoded.machines(), machines);
    fixtures.record("renewal_none", &RenewalsRecord::new(7, [].into_iter()));
    let halves = RenewalsRecord::split(7, machines.iter(), 60);
    assert!(halves.len() > 1, "one record");
    for (part, record) in halves.iter().enumerate() {
        fixtures.record(&format!("renewal_split_{part}"), record);
    }
}
