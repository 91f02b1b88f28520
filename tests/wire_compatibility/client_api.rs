//! Encoding of client submissions and the responses to them.

use crate::fixtures::{Fixtures, array, encode_value, map};
use crate::samples::{full_spec, plain_spec, plain_spec_fields};
use rmpv::Value;
use walnuttrestle::protocol::JobSpec;
use walnuttrestle::protocol::client_api::{ErrorBody, JobState};
use walnuttrestle::protocol::codec::encode;
use walnuttrestle::protocol::job::parse;
use walnuttrestle::transport::http::write_response;

/// Returns a submission with the given fields and those of the map `extra`.
fn submission(mut fields: Vec<(Value, Value)>, extra: Value) -> Value {
    let Value::Map(extra) = extra else {
        unreachable!("`extra` is a map")
    };
    fields.extend(extra);
    Value::Map(fields)
}

fn check_submission(fixtures: &mut Fixtures, name: &str, body: &Value, id: &str, spec: &JobSpec) {
    let stored = fixtures.check_encoding(name, &encode_value(body));
    let (parsed_id, parsed) = parse(&stored).expect(name);
    assert_eq!(parsed_id, id, "{name}: parsed another job id");
    assert_eq!(&parsed, spec, "{name}: parsed another job spec");
}

#[test]
fn client_message_encoding_is_stable() {
    let mut fixtures = Fixtures::open("client_api.hex");
    check_submissions(&mut fixtures);
    for status in ["pending", "running", "done", "cancelled"] {
        let state = JobState {
            id: "req-17".into(),
            status: status.into(),
            done: None,
            running: None,
        };
        fixtures.check_round_trip(&format!("state_{status}"), &state);
    }
    let with_task_counts = JobState {
        id: "req-17".into(),
        status: "running".into(),
        done: Some(300),
        running: Some(0),
    };
    fixtures.check_round_trip("state_counted", &with_task_counts);
    let error_body = ErrorBody {
        error: "field sheets is missing or invalid".into(),
    };
    fixtures.check_round_trip("problem", &error_body);
    fixtures.check_encoding("healthy", &encode(&()));
    let mut response = Vec::new();
    write_response(&mut response, 503, &encode(&error_body), Some(1), true);
    fixtures.check_encoding("http_response", &response);
    fixtures.finish();
}

fn check_submissions(fixtures: &mut Fixtures) {
    let plain = submission(plain_spec_fields(), map([("id", "req-17".into())]));
    check_submission(
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
    check_submission(fixtures, "submission_nil", &nil, "req-17", &plain_spec());
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
        ("presses", array(["big".into(), "small".into()])),
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
            array(["req-20".into(), "req-1".into(), "req-20".into()]),
        ),
    ]);
    check_submission(
        fixtures,
        "submission_full",
        &full,
        "req-000018",
        &full_spec(),
    );
}
