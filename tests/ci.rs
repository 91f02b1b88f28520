//! `.ci/test` passes over the tests that KNOWN-RED.txt names, and over nothing else. It runs here in a folder of its
//! own, with a `cargo` that prints what a run would.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

const LIST: &str = "     Running tests/gap.rs (target/debug/deps/gap-0a1b2c3d)
one: test
two: test
     Running tests/nights.rs (target/debug/deps/nights-99)
inner::one: test
one: test
";

fn report(failed: &[&str]) -> String {
    let line = |target: &str, test: &str| {
        let red = failed.contains(&format!("{target}::{test}").as_str());
        format!("test {test} ... {}\n", if red { "FAILED" } else { "ok" })
    };
    format!(
        "     Running tests/gap.rs (target/debug/deps/gap-0a1b2c3d)\n{}{}\
         test result: 2 run\n     Running tests/nights.rs (target/debug/deps/nights-99)\n{}{}",
        line("gap", "one"),
        line("gap", "two"),
        line("nights", "inner::one"),
        line("nights", "one"),
    )
}

/// Whether CI passes with such a list and such a run, and what it prints.
fn ci(known: Option<&str>, run: &str, fails: bool) -> (bool, String) {
    let dir = Dir::new();
    let path = &dir.0;
    fs::create_dir_all(path.join(".ci")).unwrap();
    fs::copy(".ci/test", path.join(".ci/test")).unwrap();
    fs::write(path.join("list"), LIST).unwrap();
    fs::write(path.join("report"), run).unwrap();
    let cargo = format!(
        "#!/bin/sh\ncase \"$*\" in *--list*) cat list;; *) cat report; exit {};; esac\n",
        if fails { 101 } else { 0 }
    );
    fs::write(path.join("cargo"), cargo).unwrap();
    let runs = fs::Permissions::from_mode(0o755);
    fs::set_permissions(path.join("cargo"), runs).unwrap();
    if let Some(known) = known {
        fs::write(path.join("KNOWN-RED.txt"), known).unwrap();
    }
    let paths = format!("{}:{}", path.display(), std::env::var("PATH").unwrap());
    let out = Command::new("bash")
        .arg(path.join(".ci/test"))
        .env("PATH", paths)
        .output()
        .expect("bash");
    let text = [out.stdout, out.stderr].concat();
    (out.status.success(), String::from_utf8(text).unwrap())
}

/// A folder that goes with the test.
struct Dir(PathBuf);

impl Dir {
    fn new() -> Dir {
        use std::sync::atomic::{AtomicU32, Ordering};
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("walnuttrestle-ci-{}-{n}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).unwrap();
        Dir(dir)
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

const ONE: &str = "gap::one | the cause of it | issue 42\n";

#[test]
fn without_a_list_any_failure_fails() {
    for list in [None, Some(""), Some(" \n")] {
        assert!(ci(list, &report(&[]), false).0);
        assert!(!ci(list, &report(&["gap::one"]), true).0);
    }
}

#[test]
fn just_what_is_listed_is_passed_over_and_printed() {
    let (passed, text) = ci(Some(ONE), &report(&["gap::one"]), true);
    assert!(passed, "{text}");
    assert!(
        text.contains("known red: gap::one | the cause of it | issue 42 (failed, passed over)")
    );
    let (passed, text) = ci(Some(ONE), &report(&[]), false);
    assert!(passed && text.contains("(passed)"), "{text}");
    // The same name in another binary, another test beside it, a longer name.
    for failed in [
        &["nights::one"][..],
        &["gap::one", "gap::two"],
        &["nights::inner::one"],
    ] {
        assert!(!ci(Some(ONE), &report(failed), true).0, "{failed:?}");
    }
    let inner = "nights::inner::one | cause | issue 1";
    assert!(ci(Some(inner), &report(&["nights::inner::one"]), true).0);
}

#[test]
fn a_run_that_failed_otherwise_is_no_failed_test() {
    assert!(!ci(Some(ONE), &report(&[]), true).0);
    let built = report(&["gap::one"]) + "error: could not compile `walnuttrestle`\n";
    assert!(!ci(Some(ONE), &built, true).0);
    let ended = report(&["gap::one"]) + "process didn't exit successfully (signal: 6, SIGABRT)\n";
    assert!(!ci(Some(ONE), &ended, true).0);
}

#[test]
fn a_list_that_is_wrong_fails() {
    for list in [
        "gap::one\n",
        "gap::one | | issue 42\n",
        "gap::one | cause\n",
        "gap::one | cause | 42\n",
        "one | cause | issue 42\n",
        "gap::* | cause | issue 42\n",
        "gap::on | cause | issue 42\n",
        "gap::three | cause | issue 42\n",
        "\ngap::one | cause | issue 42\n",
        "gap::one | cause | issue 42\ngap::one | cause | issue 42\n",
        "gap::one | a | issue 1\ngap::two | a | issue 1\nnights::one | a | issue 1\n\
         nights::inner::one | a | issue 1\n",
    ] {
        let (passed, text) = ci(Some(list), &report(&[]), false);
        assert!(!passed, "{list:?}: {text}");
        assert!(text.contains("KNOWN-RED.txt: "), "{list:?}: {text}");
    }
}
