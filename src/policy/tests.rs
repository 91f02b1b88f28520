//! Tests of policy scripts.

use super::*;

#[test]
fn a_script_sets_the_fields_it_names_and_no_others() {
    let policy = Policy::parse("p.lua", "local m = 30 return { idle_return_s = m * 3 }").unwrap();
    assert_eq!(policy.idle_timeout_s, 90.0);
    assert_eq!(
        policy.min_idle_machines,
        Policy::default().min_idle_machines
    );
}

#[test]
fn an_invalid_script_is_refused_with_the_reason() {
    for (text, reason) in [
        ("return { idle_return_s = -1 }", "idle_return_s"),
        ("return { colour = 1 }", "colour"),
        ("return { keep_idle = 'x' }", "keep_idle"),
        ("while true do end", "too long"),
        ("return os.time()", "os"),
        ("return load('return {}')()", "load"),
        ("return (", "p.lua"),
        ("return 3", "p.lua"),
        (
            "local t = {} for i = 1, 1e9 do t[i] = i end return t",
            "p.lua",
        ),
    ] {
        let error = Policy::parse("p.lua", text).unwrap_err().to_string();
        assert!(
            error.contains(reason),
            "the error for {text:?} does not contain {reason:?}: {error}"
        );
    }
}
