//! Sample values shared by the tests.

use crate::fixtures::{map, strings};
use admission_control::parts::{Grant, Share};
use rmpv::Value;
use std::collections::BTreeMap;
use walnuttrestle::protocol::cloud_api::{MachineType, MachineTypes};
use walnuttrestle::protocol::records::{JobRecord, JobStage, TaskChunk, TaskEntry};
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Priority};

/// Returns the spec of a job without any optional field.
pub(crate) fn plain_spec() -> JobSpec {
    JobSpec {
        class: "nightly".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 3,
        cpus: 2.0,
        gpus: 0.5,
        memory_gb: 16.25,
        image: "trainer:7".into(),
        image_gb: 4.5,
        types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        estimate_s: 3600.0,
        checkpoint_s: 0.0,
        save_s: 1.5,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Returns the spec of a job with every optional field.
pub(crate) fn full_spec() -> JobSpec {
    JobSpec {
        kind: JobKind::Gang,
        priority: Priority::Production,
        tasks: 100,
        types: Some(strings(["big", "small"])),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        checkpoint_s: 120.0,
        deadline_s: Some(86_400.0),
        dependencies: strings(["req-1", "req-20"]),
        ..plain_spec()
    }
}

pub(crate) fn plain_job() -> JobRecord {
    JobRecord {
        spec: plain_spec(),
        accepted_at: Micros(1_700_000_000_000_000),
        stage: JobStage::Active,
        ended_at: Micros::ZERO,
        first_chunk: TaskChunk::default(),
        cleaned: false,
    }
}

pub(crate) fn chunk() -> TaskChunk {
    TaskChunk {
        entries: vec![
            TaskEntry::new(0, 1, "n-000017".into(), 4_000_000_000, 7, false),
            TaskEntry::new(5, 300, String::new(), 0, 6, false),
            TaskEntry::new(47, 70_000, "n-000900".into(), u64::MAX, 8, true),
        ],
        done: (1 << 46) | 0b110,
    }
}

/// The fields of `plain_spec` as other processes and older versions write them.
pub(crate) fn plain_spec_fields() -> Vec<(Value, Value)> {
    let fields = map([
        ("docket", "nightly".into()),
        ("crew", "vision".into()),
        ("shape", "sweep".into()),
        ("rank", "standard".into()),
        ("sheets", 3.into()),
        ("cpus", 2.0.into()),
        ("cards", 0.5.into()),
        ("memory_gb", 16.25.into()),
        ("plate", "trainer:7".into()),
        ("size_gb", 4.5.into()),
        ("together", false.into()),
        ("scatter", true.into()),
        ("loaners", false.into()),
        ("expected_s", 3600.0.into()),
        ("proof_s", 0.0.into()),
        ("stash_s", 1.5.into()),
    ]);
    let Value::Map(fields) = fields else {
        unreachable!("`map` returns a map")
    };
    fields
}

pub(crate) fn machine_types() -> MachineTypes {
    let full = MachineType {
        name: "big".into(),
        cpus: 64.0,
        gpus: 8.0,
        memory_gb: 256.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 0.4,
        price: 9.75,
        spot_price: 3.5,
        boot_s: 45.0,
        zones: strings(["a", "b"]),
    };
    let plain = MachineType {
        name: "small".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 8.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price: 0.0,
        spot_price: 0.0,
        boot_s: 0.0,
        zones: Vec::new(),
    };
    MachineTypes {
        types: vec![full, plain],
    }
}

pub(crate) fn grant() -> Grant {
    let share = |amount, expires_at, epoch| Share {
        amount,
        expires_at,
        epoch,
    };
    let now = 1_700_000_000_000_000;
    Grant {
        epoch: 12,
        shares: BTreeMap::from([
            ("kernel-0".to_string(), share(20_000, now, 12)),
            ("kernel-1".to_string(), share(0, now, 12)),
        ]),
        earlier_shares: BTreeMap::from([
            ("kernel-1".to_string(), vec![]),
            (
                "kernel-2".to_string(),
                vec![share(9_000, now - 1, 11), share(250, now - 2, 9)],
            ),
        ]),
    }
}
