//! Builders for client submissions, and tests of their validation.

use rmpv::Value;
use walnuttrestle::protocol::codec::encode;
use walnuttrestle::protocol::job::parse;

type Fields = Vec<(Value, Value)>;

/// Returns the fields of a valid submission with two tasks.
pub(crate) fn submission(id: &str) -> Fields {
    let text = |text: &str| Value::from(text);
    [
        ("id", text(id)),
        ("docket", text("c")),
        ("crew", text("red")),
        ("shape", text("sweep")),
        ("rank", text("standard")),
        ("sheets", Value::from(2)),
        ("cpus", Value::from(1)),
        ("cards", Value::from(1.0)),
        ("memory_gb", Value::from(1.0)),
        ("plate", text("img")),
        ("size_gb", Value::from(1.0)),
        ("presses", Value::Nil),
        ("together", Value::from(false)),
        ("scatter", Value::from(false)),
        ("loaners", Value::from(false)),
        ("expected_s", Value::from(1.0)),
        ("proof_s", Value::from(0.0)),
        ("stash_s", Value::from(0)),
    ]
    .into_iter()
    .map(|(name, value)| (Value::from(name), value))
    .collect()
}

/// Encodes a submission.
pub(crate) fn body(fields: Fields) -> Vec<u8> {
    encode(&Value::Map(fields))
}

/// Encodes the submission `req-7` with one field set to the given value.
pub(crate) fn body_with(name: &str, value: Value) -> Vec<u8> {
    let mut fields = submission("req-7");
    fields.retain(|(key, _)| key.as_str() != Some(name));
    fields.push((name.into(), value));
    body(fields)
}

#[test]
fn a_submission_with_an_invalid_field_is_rejected() {
    assert!(parse(&body(submission("req-7"))).is_ok());
    let too_long = "x".repeat(300);
    for (name, value) in [
        ("id", Value::from("job-7")),
        ("id", Value::from("req-")),
        ("id", Value::from("req-7/../8")),
        ("id", Value::from(7)),
        ("sheets", Value::from(0)),
        ("sheets", Value::from(-1)),
        ("sheets", Value::from(100_001)),
        ("sheets", Value::from(2.5)),
        ("cpus", Value::from(-1.0)),
        ("cpus", Value::from(f64::NAN)),
        ("cards", Value::from(f64::INFINITY)),
        ("memory_gb", Value::from(1e300)),
        ("memory_gb", Value::from("4")),
        ("shape", Value::from("round")),
        ("rank", Value::from(1)),
        ("together", Value::from(1)),
        ("presses", Value::Array(vec![])),
        ("presses", Value::Array(vec![Value::from(3)])),
        ("yard", Value::from(3)),
        ("due_s", Value::from(-3.0)),
        ("plate", Value::Nil),
        ("docket", Value::from(too_long.as_str())),
        ("awaits", Value::from("req-1")),
        ("awaits", Value::Array(vec![Value::from(1)])),
        ("awaits", Value::Array(vec![Value::Nil])),
        ("awaits", Value::Array(vec![Value::from("job-1")])),
    ] {
        let result = parse(&body_with(name, value.clone()));
        assert!(result.is_err(), "accepted {name} = {value}");
    }
    assert!(
        parse(&body_with("cards", Value::from(2))).is_ok(),
        "rejected an integer where a floating-point amount is expected"
    );
}

#[test]
fn a_submission_without_a_required_field_is_rejected() {
    for (name, _) in submission("req-7") {
        let mut fields = submission("req-7");
        fields.retain(|(key, _)| *key != name);
        let is_optional = name.as_str() == Some("presses");
        assert_eq!(
            parse(&body(fields)).is_ok(),
            is_optional,
            "accepted without {name}"
        );
    }
}

#[test]
fn a_body_that_is_not_a_map_is_rejected() {
    assert!(parse(b"").is_err());
    assert!(parse(&[0xc1]).is_err());
    assert!(parse(&[0x93, 1, 2, 3]).is_err());
}

#[test]
fn dependencies_are_sorted_and_deduplicated() {
    let dependencies_of = |value| parse(&body_with("awaits", value)).unwrap().1.dependencies;
    assert!(dependencies_of(Value::Nil).is_empty());
    assert!(dependencies_of(Value::Array(vec![])).is_empty());
    let duplicates = ["req-2", "req-1", "req-2"].map(Value::from);
    assert_eq!(
        dependencies_of(Value::Array(duplicates.to_vec())),
        ["req-1", "req-2"]
    );
}

#[test]
fn the_example_pipeline_is_valid() {
    let text = include_str!("../../examples/pipeline.json");
    let jobs: Vec<Value> = serde_json::from_str(text).unwrap();
    let mut earlier = Vec::new();
    for job in jobs {
        let mut body = Vec::new();
        rmpv::encode::write_value(&mut body, &job).unwrap();
        let (id, spec) = parse(&body).unwrap();
        assert!(
            spec.dependencies
                .iter()
                .all(|dependency| earlier.contains(dependency)),
            "{id} does not depend on earlier jobs only: {:?}, {earlier:?}",
            spec.dependencies
        );
        earlier.push(id);
    }
    assert_eq!(earlier.len(), 5);
}
