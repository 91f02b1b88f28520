//! Tests.

use super::*;

#[test]
fn scripts_set_what_they_name_and_nothing_else() {
    let p = Policy::parse("p.lua", "local m = 30 return { idle_return_s = m * 3 }").unwrap();
    assert_eq!(p.idle_return_s, 90.0);
    assert_eq!(p.keep_idle, Policy::default().keep_idle);
}

#[test]
fn faulty_scripts_are_refused_with_the_reason() {
    for (text, word) in [
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
        let e = Policy::parse("p.lua", text).unwrap_err().to_string();
        assert!(e.contains(word), "{text}: {e}");
    }
}
