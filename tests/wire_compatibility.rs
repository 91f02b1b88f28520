//! Stored records and messages keep their bytes.
//!
//! Each file below `tests/data` holds cases, one a line: a name and the bytes in hexadecimal. A test builds the
//! value of each case in code, compares what it is encoded to with the file, decodes the bytes of the file, and
//! compares the result with the value. `UPDATE_FIXTURES=1 cargo test --test wire_compatibility` writes the files
//! anew and fails, so that no such run passes for a comparison.

use admission_control::parts::{Grant, Part};
use rmpv::Value;
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::path::PathBuf;
use walnuttrestle::protocol::agent_api::{
    AgentCommands, AgentHeartbeat, AgentHeartbeatResponse, Command, ExitReason, Misdirected,
    TaskPhase, TaskStatus,
};
use walnuttrestle::protocol::client_api::{JobState, Problem};
use walnuttrestle::protocol::cloud_api::{
    ListedMachine, MachineNames, MachinePage, MachineState, MachineType, MachineTypes, RentRequest,
};
use walnuttrestle::protocol::codec::{decode, encode, from_value, to_value};
use walnuttrestle::protocol::format;
use walnuttrestle::protocol::job::parse;
use walnuttrestle::protocol::key_value_api::{
    Change, Item, ItemPage, LeaseRequest, LeaseResponse, Transaction, TransactionResponse,
    VersionCondition, WatchEvent, WatchResponse,
};
use walnuttrestle::protocol::peer_messages::{
    CancellationCursor, CancellationNews, HeartbeatExtension, PeerHeartbeat, RecordSummary,
};
use walnuttrestle::protocol::records::{
    self, BudgetSharesRecord, JobRecord, JobStage, LeaderRecord, PlacementBatch, RenewalsRecord,
    TaskChunk, TaskEntry,
};
use walnuttrestle::protocol::{JobKind, JobSpec, Micros, Priority};
use walnuttrestle::state::store_client::{
    RequestPriority, StoreClient, StoreRequest, StoreResponse,
};
use walnuttrestle::transport::http::{put_request, put_response};
use walnuttrestle::transport::{NetworkCommand, Outcome};

/// The cases of one fixture file.
struct Fixtures {
    path: PathBuf,
    updating: bool,
    stored: BTreeMap<String, Vec<u8>>,
    used: BTreeMap<String, Vec<u8>>,
}

impl Fixtures {
    /// Reads a file below `tests/data`.
    fn open(file: &str) -> Fixtures {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
        let path = path.join("tests/data").join(file);
        let updating = std::env::var("UPDATE_FIXTURES").is_ok_and(|v| v == "1");
        let stored = match updating {
            true => BTreeMap::new(),
            false => read_cases(&path),
        };
        Fixtures {
            path,
            updating,
            stored,
            used: BTreeMap::new(),
        }
    }

    /// The stored bytes of a case; while the files are updated, those that the code writes now.
    fn case(&mut self, name: &str, written_now: Vec<u8>) -> Vec<u8> {
        let bytes = match self.stored.get(name) {
            Some(bytes) => bytes.clone(),
            None if self.updating => written_now,
            None => panic!("no case {name} in {}", self.path.display()),
        };
        let before = self.used.insert(name.to_string(), bytes.clone());
        assert!(before.is_none(), "case {name} is used twice");
        bytes
    }

    /// The code writes these bytes.
    fn written(&mut self, name: &str, bytes: &[u8]) -> Vec<u8> {
        let stored = self.case(name, bytes.to_vec());
        assert_eq!(hex(bytes), hex(&stored), "{name}: other bytes");
        stored
    }

    /// The code writes this value as the stored bytes, and reads them as this value.
    fn both_ways<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let stored = self.written(name, &encode(value));
        let decoded: T = decode(&stored).expect(name);
        assert_eq!(&decoded, value, "{name}: another value");
        let again = encode(&decoded);
        assert_eq!(hex(&again), hex(&stored), "{name}: other bytes again");
    }

    /// The same for a value in the state service, which passes through a generic value.
    fn record<T>(&mut self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        self.both_ways(name, value);
        let generic = to_value(value);
        let stored = &self.used[name];
        assert_eq!(hex(&bytes_of(&generic)), hex(stored), "{name}: as a value");
        let decoded: T = from_value(&generic).expect(name);
        assert_eq!(&decoded, value, "{name}: from a value");
    }

    /// The code reads a body of another process as this value.
    fn read_as<T>(&mut self, name: &str, body: &Value, value: &T)
    where
        T: DeserializeOwned + PartialEq + Debug,
    {
        let stored = self.case(name, bytes_of(body));
        assert_eq!(hex(&bytes_of(body)), hex(&stored), "{name}: the test");
        let decoded: T = decode(&stored).expect(name);
        assert_eq!(&decoded, value, "{name}: another value");
    }

    /// Every case of the file has been used.
    fn finish(self) {
        if self.updating {
            let mut text = String::new();
            for (name, bytes) in &self.used {
                writeln!(text, "{name} {}", hex(bytes)).unwrap();
            }
            std::fs::write(&self.path, text).unwrap();
            panic!("{} is written, nothing is compared", self.path.display());
        }
        let stored: Vec<&String> = self.stored.keys().collect();
        let used: Vec<&String> = self.used.keys().collect();
        assert_eq!(used, stored, "cases that no test uses");
    }
}

fn read_cases(path: &PathBuf) -> BTreeMap<String, Vec<u8>> {
    let text = std::fs::read_to_string(path).unwrap();
    let mut cases = BTreeMap::new();
    for line in text.lines() {
        let (name, digits) = line.split_once(' ').expect(line);
        let before = cases.insert(name.to_string(), bytes_of_hex(digits));
        assert!(before.is_none(), "case {name} is stored twice");
    }
    cases
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of_hex(digits: &str) -> Vec<u8> {
    assert!(digits.len().is_multiple_of(2), "half a byte in {digits}");
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect(digits);
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn bytes_of(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).unwrap();
    bytes
}

fn map<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Map(fields.map(|(name, value)| (name.into(), value)).to_vec())
}

fn list<const N: usize>(values: [Value; N]) -> Value {
    Value::Array(values.to_vec())
}

fn strings<const N: usize>(values: [&str; N]) -> Vec<String> {
    values.map(String::from).to_vec()
}

/// A job without any optional field.
fn plain_spec() -> JobSpec {
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
        needs: Vec::new(),
    }
}

/// A job with every optional field.
fn full_spec() -> JobSpec {
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
        needs: strings(["req-1", "req-20"]),
        ..plain_spec()
    }
}

fn plain_job() -> JobRecord {
    JobRecord {
        spec: plain_spec(),
        at: Micros(1_700_000_000_000_000),
        stage: JobStage::Active,
        end: Micros::ZERO,
        first: TaskChunk::default(),
        cleaned: false,
    }
}

fn chunk() -> TaskChunk {
    TaskChunk {
        entries: vec![
            TaskEntry(0, 1, "n-000017".into(), 4_000_000_000, 7, false),
            TaskEntry(5, 300, String::new(), 0, 6, false),
            TaskEntry(47, 70_000, "n-000900".into(), u64::MAX, 8, true),
        ],
        done: (1 << 46) | 0b110,
    }
}

/// The fields of `plain_spec` as other processes and older versions write them.
fn plain_spec_fields() -> Vec<(Value, Value)> {
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
        unreachable!("a map")
    };
    fields
}

fn machine_types() -> MachineTypes {
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

fn grant() -> Grant {
    let part = |amount, until, epoch| Part {
        amount,
        until,
        epoch,
    };
    let now = 1_700_000_000_000_000;
    Grant {
        epoch: 12,
        parts: BTreeMap::from([
            ("kernel-0".to_string(), part(20_000, now, 12)),
            ("kernel-1".to_string(), part(0, now, 12)),
        ]),
        owed: BTreeMap::from([
            ("kernel-1".to_string(), vec![]),
            (
                "kernel-2".to_string(),
                vec![part(9_000, now - 1, 11), part(250, now - 2, 9)],
            ),
        ]),
    }
}

#[test]
fn record_keys() {
    let mut fixtures = Fixtures::open("record_keys.hex");
    let keys = [
        ("root", records::ROOT.to_string()),
        ("lead", records::LEAD.to_string()),
        ("live", records::LIVE.to_string()),
        ("types", records::TYPES.to_string()),
        ("base", records::BASE.to_string()),
        ("jobs", records::JOBS.to_string()),
        ("chunks", records::CHUNKS.to_string()),
        ("renewals", records::RENEWALS.to_string()),
        ("formats", records::FORMATS.to_string()),
        ("bundles", records::BUNDLES.to_string()),
        ("bundled", records::BUNDLED.to_string()),
        ("parts", records::PARTS.to_string()),
        ("job", records::job_key("req-17")),
        ("chunk", records::chunk_key("req-17", 3)),
        ("bundle", records::bundle_key(12)),
        ("format", records::format_key("kernel-1")),
        ("renewal_part_0", records::renew_key("kernel-1", 0)),
        ("renewal_part_2", records::renew_key("kernel-1", 2)),
    ];
    for (name, key) in keys {
        fixtures.written(name, key.as_bytes());
    }
    assert_eq!(records::bundle_number("wt/b/12"), Some(12));
    assert_eq!(records::CHUNK, 48);
    fixtures.finish();
}

#[test]
fn stored_records() {
    let mut fixtures = Fixtures::open("records.hex");
    lead_and_small_records(&mut fixtures);
    job_records(&mut fixtures);
    renewal_records(&mut fixtures);
    fixtures.finish();
}

fn lead_and_small_records(fixtures: &mut Fixtures) {
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
    fixtures.record("parts", &BudgetSharesRecord::of(&grant()));
    fixtures.record("parts_none", &BudgetSharesRecord::default());
    let parts: BudgetSharesRecord = decode(&fixtures.used["parts"]).unwrap();
    assert_eq!(parts.grant(), grant());
    let bundle = PlacementBatch {
        places: vec![
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
        end: Micros(1_700_000_100_000_001),
        first: chunk(),
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

/// A heartbeat that tells all that the format has.
fn heartbeat(number: u32) -> PeerHeartbeat {
    let since = |first: u32| number >= first;
    PeerHeartbeat {
        node: "kernel-1".into(),
        leading: Some(7),
        leader_silent_ms: Some(300),
        newest: Some(412),
        served: true,
        format: number,
        asks: if since(format::PARTS) { 30_000 } else { 0 },
        epoch: if since(format::PARTS) { 4 } else { 0 },
        more: since(format::RIGHTS).then_some(HeartbeatExtension {
            run: 77,
            right: Some(7),
            used_ago: Some(1_500_000),
            quiet: true,
        }),
        record_summary: since(format::RIGHTS).then(|| RecordSummary {
            lead: ("kernel-0".into(), 3, 7),
            revision: 411,
            cancelled: strings(["req-000009", "req-10"]),
            known: vec![("kernel-2".into(), 12)],
        }),
        knows: since(format::CANCELLATIONS).then_some(CancellationCursor {
            complete: 400,
            heard: (78, 3),
        }),
        news: since(format::CANCELLATIONS).then(|| CancellationNews {
            lead: 12,
            from: 3,
            next: 5,
            more: true,
            jobs: vec![("req-1".into(), 408), ("req-2".into(), 409)],
            known: vec![("kernel-2".into(), 700_000)],
        }),
    }
}

/// A heartbeat with every optional field absent.
fn bare_heartbeat(number: u32) -> PeerHeartbeat {
    PeerHeartbeat {
        leading: None,
        leader_silent_ms: None,
        newest: None,
        served: false,
        record_summary: None,
        knows: None,
        news: None,
        more: (number >= format::RIGHTS).then(HeartbeatExtension::default),
        ..heartbeat(number)
    }
}

/// What the code of today writes behind the bytes of an older format.
fn written_behind(number: u32) -> &'static [u8] {
    match number {
        // The format, no parts asked for, and no grant seen.
        format::FIRST => &[1, 0, 0],
        format::PIPELINES | format::BUNDLES => &[0, 0],
        // Neither `knows` nor `news`.
        format::RIGHTS => &[0, 0],
        _ => &[],
    }
}

fn heartbeat_case(fixtures: &mut Fixtures, name: &str, heartbeat: &PeerHeartbeat) {
    let encoded = heartbeat.encode();
    let behind = written_behind(heartbeat.format);
    let of_its_format = encoded.strip_suffix(behind).expect(name);
    let stored = fixtures.written(name, of_its_format);
    let decoded = PeerHeartbeat::decode(&stored).expect(name);
    assert_eq!(&decoded, heartbeat, "{name}: another value");
    let again = [stored.as_slice(), behind].concat();
    assert_eq!(hex(&decoded.encode()), hex(&again), "{name}: other bytes");
}

#[test]
fn heartbeats_of_each_format() {
    let mut fixtures = Fixtures::open("heartbeats.hex");
    assert_eq!(format::NEWEST, 6, "a new format needs cases here");
    for number in format::FIRST..=format::NEWEST {
        let name = format!("format_{number}");
        heartbeat_case(&mut fixtures, &name, &heartbeat(number));
        let name = format!("format_{number}_bare");
        heartbeat_case(&mut fixtures, &name, &bare_heartbeat(number));
    }
    let newer = PeerHeartbeat {
        format: format::NEWEST + 1,
        ..heartbeat(format::NEWEST)
    };
    let with_unknown_end = [newer.encode(), b"later".to_vec()].concat();
    let stored = fixtures.case("format_7_with_unknown_end", with_unknown_end);
    assert_eq!(PeerHeartbeat::decode(&stored), Ok(newer));
    fixtures.finish();
}

fn submission(mut fields: Vec<(Value, Value)>, more: Value) -> Value {
    let Value::Map(more) = more else {
        unreachable!("a map")
    };
    fields.extend(more);
    Value::Map(fields)
}

fn submission_case(fixtures: &mut Fixtures, name: &str, body: &Value, id: &str, spec: &JobSpec) {
    let stored = fixtures.written(name, &bytes_of(body));
    let (parsed_id, parsed) = parse(&stored).expect(name);
    assert_eq!(parsed_id, id, "{name}: another id");
    assert_eq!(&parsed, spec, "{name}: another job");
}

#[test]
fn client_api() {
    let mut fixtures = Fixtures::open("client_api.hex");
    submissions(&mut fixtures);
    for status in ["pending", "running", "done", "cancelled"] {
        let state = JobState {
            id: "req-17".into(),
            status: status.into(),
            done: None,
            running: None,
        };
        fixtures.both_ways(&format!("state_{status}"), &state);
    }
    let counted = JobState {
        id: "req-17".into(),
        status: "running".into(),
        done: Some(300),
        running: Some(0),
    };
    fixtures.both_ways("state_counted", &counted);
    let problem = Problem {
        error: "field sheets is missing or invalid".into(),
    };
    fixtures.both_ways("problem", &problem);
    fixtures.written("healthy", &encode(&()));
    let mut response = Vec::new();
    put_response(&mut response, 503, &encode(&problem), Some(1), true);
    fixtures.written("http_response", &response);
    fixtures.finish();
}

fn submissions(fixtures: &mut Fixtures) {
    let plain = submission(plain_spec_fields(), map([("id", "req-17".into())]));
    submission_case(
        fixtures,
        "submission_plain",
        &plain,
        "req-17",
        &plain_spec(),
    );
    let nil = map([
        ("id", "req-17".into()),
        ("presses", Value::Nil),
        ("yard", Value::Nil),
        ("due_s", Value::Nil),
        ("awaits", Value::Nil),
        ("unknown_field", 1.into()),
    ]);
    let nil = submission(plain_spec_fields(), nil);
    submission_case(fixtures, "submission_nil", &nil, "req-17", &plain_spec());
    let full = map([
        ("id", "req-000018".into()),
        ("docket", "nightly".into()),
        ("crew", "vision".into()),
        ("shape", "gang".into()),
        ("rank", "prod".into()),
        ("sheets", 100.into()),
        ("cpus", 2.into()),
        ("cards", 0.5.into()),
        ("memory_gb", 16.25.into()),
        ("plate", "trainer:7".into()),
        ("size_gb", 4.5.into()),
        ("presses", list(["big".into(), "small".into()])),
        ("yard", "a".into()),
        ("together", true.into()),
        ("scatter", false.into()),
        ("loaners", true.into()),
        ("expected_s", 3600.into()),
        ("proof_s", 120.into()),
        ("stash_s", 1.5.into()),
        ("due_s", 86_400.into()),
        (
            "awaits",
            list(["req-20".into(), "req-1".into(), "req-20".into()]),
        ),
    ]);
    submission_case(
        fixtures,
        "submission_full",
        &full,
        "req-000018",
        &full_spec(),
    );
}

fn task_report(phase: TaskPhase) -> TaskStatus {
    TaskStatus {
        task: "req-17/3".into(),
        attempt: 2,
        phase,
        why: None,
        saved: None,
    }
}

fn report(tasks: Vec<TaskStatus>) -> AgentHeartbeat {
    AgentHeartbeat {
        machine: "n-000017".into(),
        address: "10.1.4.17:9000".into(),
        kind: "big".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: 4_000_000_000,
        seq: 300,
        term: 7,
        notice_s: None,
        tasks,
    }
}

fn commands() -> Vec<Command> {
    let task = || "req-17/3".to_string();
    vec![
        Command::Start {
            task: task(),
            attempt: 2,
        },
        Command::Stop {
            task: task(),
            attempt: 300,
            grace_s: 12.5,
        },
        Command::Forget {
            task: task(),
            attempt: 1,
        },
    ]
}

#[test]
fn agent_api() {
    let mut fixtures = Fixtures::open("agent_api.hex");
    reports(&mut fixtures);
    let answer = AgentHeartbeatResponse {
        term: 7,
        commands: commands(),
    };
    fixtures.both_ways("report_answer", &answer);
    let empty = AgentHeartbeatResponse {
        term: 7,
        commands: Vec::new(),
    };
    fixtures.both_ways("report_answer_empty", &empty);
    let orders = AgentCommands {
        term: 7,
        agent_epoch: 4_000_000_000,
        commands: commands(),
    };
    fixtures.both_ways("orders", &orders);
    fixtures.both_ways("misdirected", &Misdirected::default());
    let elsewhere = Misdirected {
        leader: Some("kernel-1".into()),
    };
    fixtures.both_ways("misdirected_to_leader", &elsewhere);
    let mut request = Vec::new();
    let body = encode(&orders);
    put_request(&mut request, "POST", "/orders", "10.1.4.17:9000", &body);
    fixtures.written("http_request", &request);
    fixtures.finish();
}

fn reports(fixtures: &mut Fixtures) {
    let phases = [
        TaskPhase::Fetching,
        TaskPhase::Waiting,
        TaskPhase::Running,
        TaskPhase::Saving,
        TaskPhase::Exited,
    ];
    let phases = report(phases.map(task_report).to_vec());
    fixtures.both_ways("report_of_each_phase", &phases);
    let causes = [
        ExitReason::Done,
        ExitReason::Stopped,
        ExitReason::Peers,
        ExitReason::Alone,
        ExitReason::Error,
        ExitReason::NoRoom,
        ExitReason::Busy,
        ExitReason::Unknown,
    ];
    let causes = causes.map(|why| TaskStatus {
        why: Some(why),
        saved: Some(why == ExitReason::Stopped),
        ..task_report(TaskPhase::Exited)
    });
    let causes = AgentHeartbeat {
        notice_s: Some(30.5),
        ..report(causes.to_vec())
    };
    fixtures.both_ways("report_of_each_cause", &causes);
    worker_report(fixtures);
}

/// A report as an agent writes it: without optional fields, and with a task that names them.
fn worker_report(fixtures: &mut Fixtures) {
    let running = map([
        ("sheet", "req-17/3".into()),
        ("try", 2.into()),
        ("status", "running".into()),
    ]);
    let stopped = map([
        ("sheet", "req-17/3".into()),
        ("try", 2.into()),
        ("status", "ended".into()),
        ("cause", "mates_gone".into()),
        ("stored", true.into()),
    ]);
    let body = map([
        ("kernel", "n-000017".into()),
        ("endpoint", "10.1.4.17:9000".into()),
        ("press", "big".into()),
        ("yard", "a".into()),
        ("loaners", true.into()),
        ("shift", 4_000_000_000u64.into()),
        ("tally", 300.into()),
        ("baton", 7.into()),
        ("sheets", list([running, stopped])),
    ]);
    let stopped = TaskStatus {
        why: Some(ExitReason::Peers),
        saved: Some(true),
        ..task_report(TaskPhase::Exited)
    };
    let value = report(vec![task_report(TaskPhase::Running), stopped]);
    fixtures.read_as("report_of_a_worker", &body, &value);
}

fn listed(state: MachineState) -> ListedMachine {
    ListedMachine {
        id: "n-000017".into(),
        address: None,
        kind: "big".into(),
        zone: "a".into(),
        spot: false,
        state,
        age_s: 0.0,
    }
}

#[test]
fn cloud_api() {
    let mut fixtures = Fixtures::open("cloud_api.hex");
    let rent = RentRequest {
        request: "kernel-1-7-12".into(),
        kind: "big".into(),
        zone: "a".into(),
        spot: true,
        count: 50,
    };
    fixtures.both_ways("rent", &rent);
    let names = MachineNames {
        machines: strings(["n-000017", "n-000018"]),
    };
    fixtures.both_ways("machine_names", &names);
    let page = MachinePage {
        machines: vec![
            listed(MachineState::Booting),
            ListedMachine {
                address: Some("10.1.4.17:9000".into()),
                spot: true,
                age_s: 61.5,
                ..listed(MachineState::Running)
            },
            listed(MachineState::Failed),
        ],
        more: true,
    };
    fixtures.both_ways("machine_page", &page);
    fixtures.both_ways("machine_types", &machine_types());
    cloud_answers(&mut fixtures);
    fixtures.finish();
}

/// Answers as the cloud writes them, with and without optional fields.
fn cloud_answers(fixtures: &mut Fixtures) {
    let big = map([
        ("name", "big".into()),
        ("cpus", 64.into()),
        ("cards", 8.into()),
        ("memory_gb", 256.into()),
        ("local_gb", 20.into()),
        ("fetch_gb_per_s", 0.4.into()),
        ("price", 9.75.into()),
        ("low_price", 3.5.into()),
        ("startup_s", 45.into()),
        ("yards", list(["a".into(), "b".into()])),
    ]);
    let small = map([
        ("name", "small".into()),
        ("cpus", 4.into()),
        ("cards", 0.into()),
        ("memory_gb", 8.into()),
    ]);
    let types = map([("presses", list([big, small]))]);
    fixtures.read_as("types_of_the_cloud", &types, &machine_types());
    let machine = map([
        ("id", "n-000017".into()),
        ("press", "big".into()),
        ("yard", "a".into()),
        ("loaners", false.into()),
        ("status", "booting".into()),
    ]);
    let page = map([("kernels", list([machine])), ("more", false.into())]);
    let value = MachinePage {
        machines: vec![listed(MachineState::Booting)],
        more: false,
    };
    fixtures.read_as("page_of_the_cloud", &page, &value);
}

fn transaction() -> Transaction {
    let condition = |key: &str, version| VersionCondition {
        key: key.into(),
        version,
    };
    let job = Change::Put {
        put: records::job_key("req-17"),
        value: to_value(&plain_job()),
        lease: None,
    };
    let live = Change::Put {
        put: records::LIVE.into(),
        value: "kernel-1".into(),
        lease: Some(91),
    };
    let delete = Change::Delete {
        key: records::chunk_key("req-17", 1),
    };
    Transaction {
        conds: vec![condition(records::LEAD, 412), condition(records::LIVE, 0)],
        changes: vec![job, live, delete],
    }
}

/// Method, path and body of a request to the state service.
fn request_bytes(ask: StoreRequest) -> Vec<u8> {
    let address = "127.0.0.1:7000".parse().unwrap();
    let mut store = StoreClient::new(address, 100.0, 100.0, 100.0);
    let mut sent = Vec::new();
    store.ask(RequestPriority::Urgent, (), ask);
    store.send_queued(Micros::millis(10_000), &mut 0, &mut sent);
    let [NetworkCommand::Call(call)] = sent.as_slice() else {
        panic!("not one call: {sent:?}");
    };
    let head = format!("{} {}\n", call.method, call.path);
    [head.as_bytes(), &call.body].concat()
}

/// What the state service's answer to a request is taken for.
fn reply_to(ask: StoreRequest, status: u16, body: &[u8]) -> StoreResponse {
    let address = "127.0.0.1:7000".parse().unwrap();
    let mut store = StoreClient::new(address, 100.0, 100.0, 100.0);
    let (mut id, mut sent) = (0, Vec::new());
    store.ask(RequestPriority::Urgent, (), ask);
    store.send_queued(Micros::millis(10_000), &mut id, &mut sent);
    let outcome = Outcome::Reply {
        status,
        body: body.to_vec(),
    };
    store
        .on_response(id, &outcome)
        .expect("the request")
        .response
}

#[test]
fn key_value_api() {
    let mut fixtures = Fixtures::open("key_value_api.hex");
    store_requests(&mut fixtures);
    transaction_answers(&mut fixtures);
    listing_answers(&mut fixtures);
    watch_answers(&mut fixtures);
    lease_messages(&mut fixtures);
    fixtures.finish();
}

fn store_requests(fixtures: &mut Fixtures) {
    let first_page = StoreRequest::List {
        after: String::new(),
    };
    let next_page = StoreRequest::List {
        after: "wt/j/req-17".into(),
    };
    let watch = StoreRequest::Watch {
        after: 412,
        block_ms: 2500,
    };
    let requests = [
        (
            "request_transaction",
            StoreRequest::Transaction(transaction()),
        ),
        ("request_first_page", first_page),
        ("request_next_page", next_page),
        ("request_watch", watch),
        (
            "request_lease",
            StoreRequest::NewLease(Micros::millis(3_000)),
        ),
        ("request_renewal", StoreRequest::Renew(91)),
    ];
    for (name, ask) in requests {
        fixtures.written(name, &request_bytes(ask));
    }
    fixtures.both_ways("transaction", &transaction());
}

fn transaction_answers(fixtures: &mut Fixtures) {
    let committed = TransactionResponse {
        revision: 413,
        failed: Vec::new(),
    };
    let body = map([("edition", 413.into())]);
    fixtures.read_as("committed", &body, &committed);
    let body = &fixtures.used["committed"];
    let reply = reply_to(StoreRequest::Transaction(transaction()), 200, body);
    assert_eq!(reply, StoreResponse::Committed(413));
    let conflict = TransactionResponse {
        revision: 0,
        failed: strings(["wt/lead", "wt/live"]),
    };
    let failed = list(["wt/lead".into(), "wt/live".into()]);
    fixtures.read_as("conflict", &map([("failed", failed)]), &conflict);
    let body = &fixtures.used["conflict"];
    let reply = reply_to(StoreRequest::Transaction(transaction()), 409, body);
    assert_eq!(reply, StoreResponse::Conflict(conflict.failed));
}

fn listing_answers(fixtures: &mut Fixtures) {
    let page = ItemPage {
        items: vec![
            Item {
                key: "wt/base".into(),
                value: 1900.into(),
                version: 3,
            },
            Item {
                key: "wt/j/req-17".into(),
                value: to_value(&plain_job()),
                version: 412,
            },
        ],
        more: true,
        revision: 413,
    };
    fixtures.both_ways("page", &page);
    let item = |key: &str, value: Value, version: u64| {
        map([
            ("k", key.into()),
            ("value", value),
            ("stamp", version.into()),
        ])
    };
    let items = list([
        item("wt/base", 1900.into(), 3),
        item("wt/j/req-17", to_value(&plain_job()), 412),
    ]);
    let body = map([
        ("items", items),
        ("more", true.into()),
        ("edition", 413.into()),
    ]);
    fixtures.read_as("page_of_the_service", &body, &page);
    let ask = StoreRequest::List {
        after: String::new(),
    };
    let reply = reply_to(ask, 200, &fixtures.used["page_of_the_service"]);
    assert_eq!(reply, StoreResponse::Page(page));
}

fn watch_answers(fixtures: &mut Fixtures) {
    let put = WatchEvent {
        put: Some("wt/base".into()),
        value: Some(1900.into()),
        deleted: None,
        version: 413,
    };
    let deleted = WatchEvent {
        put: None,
        value: None,
        deleted: Some("wt/live".into()),
        version: 414,
    };
    let answer = WatchResponse {
        revision: 414,
        events: vec![put, deleted],
    };
    fixtures.both_ways("watch_answer", &answer);
    let put = map([
        ("put", "wt/base".into()),
        ("value", 1900.into()),
        ("stamp", 413.into()),
    ]);
    let deleted = map([("drop", "wt/live".into()), ("stamp", 414.into())]);
    let body = map([("edition", 414.into()), ("news", list([put, deleted]))]);
    fixtures.read_as("watch_answer_of_the_service", &body, &answer);
    let ask = StoreRequest::Watch {
        after: 412,
        block_ms: 0,
    };
    let reply = reply_to(ask, 200, &fixtures.used["watch_answer_of_the_service"]);
    assert_eq!(reply, StoreResponse::Events(answer));
}

fn lease_messages(fixtures: &mut Fixtures) {
    fixtures.both_ways("lease_request", &LeaseRequest { ttl_ms: 3_000 });
    let answer = LeaseResponse { lease: 91 };
    fixtures.both_ways("lease_answer", &answer);
    let body = &fixtures.used["lease_answer"];
    let reply = reply_to(StoreRequest::NewLease(Micros::millis(3_000)), 200, body);
    assert_eq!(reply, StoreResponse::Lease(91));
}
