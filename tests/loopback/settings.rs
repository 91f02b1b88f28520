//! Validation of the settings file.

use walnuttrestle::protocol::Settings;

const VALID: &str = include_str!("../../examples/settings.toml");

#[test]
fn an_error_names_the_file_and_the_field() {
    assert!(Settings::parse("s.toml", VALID).is_ok());
    for (from, to, field) in [
        ("lease_s = 10.0", "lease_s = 0.0", "lease_s"),
        ("lease_s = 10.0", "lease_s = 50.0", "cancel_s"),
        ("lease_s = 10.0", "", "lease_s"),
        ("txn_ops = 8", "txn_ops = 1", "txn_ops"),
        ("sockets = 1000", "sockets = \"many\"", "sockets"),
        ("member = \"kernel-0\"", "member = \"\"", "member"),
    ] {
        assert!(
            VALID.contains(from),
            "examples/settings.toml does not contain `{from}`"
        );
        let error = Settings::parse("s.toml", &VALID.replace(from, to)).unwrap_err();
        let text = error.to_string();
        assert!(
            text.contains("s.toml") && text.contains(field),
            "expected s.toml and {field} in: {text}"
        );
    }
}

#[test]
fn future_limits_of_the_store_are_validated_and_only_lower_the_present_ones() {
    let with_future_limits = |lines: &str| {
        let text = format!("{VALID}\n[params.state.next]\n{lines}\n");
        Settings::parse("s.toml", &text)
    };
    for (line, field) in [
        ("value_kb = 0.0", "params.state.next.value_kb"),
        ("write_rps = -1.0", "params.state.next.write_rps"),
        ("rps = inf", "params.state.next.rps"),
        ("txn_ops = 1", "params.state.next.txn_ops"),
        ("txn_ops = \"few\"", "txn_ops"),
    ] {
        let text = with_future_limits(line).unwrap_err().to_string();
        assert!(text.contains(field), "expected {field} in: {text}");
    }
    let lower = with_future_limits("write_rps = 7.5\ntxn_ops = 4000").unwrap();
    let limits = &lower.params.state;
    assert_eq!(limits.effective_write_rps(), 7.5);
    assert_eq!(
        limits.effective_txn_ops(),
        8,
        "a higher future limit raised the present one"
    );
    assert_eq!(
        limits.effective_rps(),
        limits.rps,
        "a limit without a future value changed"
    );
}

#[test]
fn unknown_fields_are_ignored() {
    let text = format!("colour = \"red\"\n{VALID}");
    assert!(Settings::parse("s.toml", &text).is_ok());
}
