//! Submissions of clients and the responses to them.

use crate::fixtures::{Fixtures, bytes_of, list, map};
use crate::samples::{full_spec, plain_spec, plain_spec_fields};
use rmpv::Value;
use walnuttrestle::protocol::JobSpec;
use walnuttrestle::protocol::client_api::{ErrorBody, JobState};
use walnuttrestle::protocol::codec::encode;
use walnuttrestle::protocol::job::parse;
use walnuttrestle::transport::http::write_response;

/// Returns a submission with these fields and more.
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
fn client_messages_keep_their_bytes() {
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
    let problem = ErrorBody {
        error: "field sheets is missing or invalid".into(),
    };
    fixtures.both_ways("problem", &problem);
    fixtures.written("healthy", &encode(&()));
    let mut response = Vec::new();
    write_response(&mut response, 503, &encode(&problem), Some(1), true);
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
