//! `.ci/test` ignores failures of the tests that are listed in KNOWN-RED.txt, and no others. The tests run a copy of the
//! script in a temporary directory, with a stub `cargo` that prints prepared output.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

/// Output of the stub for `cargo test -- --list`.
const TEST_LIST: &str = "     Running tests/gap.rs (target/debug/deps/gap-0a1b2c3d)
one: test
two: test
     Running tests/nights.rs (target/debug/deps/nights-99)
inner::one: test
one: test
";

/// Output of `cargo test` in which the given tests fail and all others pass.
fn cargo_output(failed: &[&str]) -> String {
    let line = |target: &str, test: &str| {
        let fails = failed.contains(&format!("{target}::{test}").as_str());
        format!("test {test} ... {}\n", if fails { "FAILED" } else { "ok" })
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

/// Runs `.ci/test` with the given contents of KNOWN-RED.txt and the given output of `cargo test`; returns whether it
/// passes, and what it prints.
fn run_ci_test(known_red: Option<&str>, output: &str, cargo_fails: bool) -> (bool, String) {
    let dir = TempDir::new();
    let path = &dir.0;
    fs::create_dir_all(path.join(".ci")).unwrap();
    fs::copy(".ci/test", path.join(".ci/test")).unwrap();
    fs::write(path.join("list"), TEST_LIST).unwrap();
    fs::write(path.join("report"), output).unwrap();
    let cargo = format!(
        "#!/bin/sh\ncase \"$*\" in *--list*) cat list;; *) cat report; exit {};; esac\n",
        if cargo_fails { 101 } else { 0 }
    );
    fs::write(path.join("cargo"), cargo).unwrap();
    let executable = fs::Permissions::from_mode(0o755);
    fs::set_permissions(path.join("cargo"), executable).unwrap();
    if let Some(known_red) = known_red {
        fs::write(path.join("KNOWN-RED.txt"), known_red).unwrap();
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

/// A temporary directory that is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> TempDir {
        use std::sync::atomic::{AtomicU32, Ordering};
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("walnuttrestle-ci-{}-{n}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).unwrap();
        TempDir(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

const ONE_ENTRY: &str = "gap::one | the cause of it | issue 42\n";

#[test]
fn without_known_red_entries_any_failure_fails() {
    for list in [None, Some(""), Some(" \n")] {
        assert!(run_ci_test(list, &cargo_output(&[]), false).0);
        assert!(!run_ci_test(list, &cargo_output(&["gap::one"]), true).0);
    }
}

#[test]
fn only_listed_failures_are_passed_over_and_printed() {
    let (passed, text) = run_ci_test(Some(ONE_ENTRY), &cargo_output(&["gap::one"]), true);
    assert!(passed, "{text}");
    assert!(
        text.contains("known red: gap::one | the cause of it | issue 42 (failed, passed over)"),
        "the listed failure is not printed: {text}"
    );
    let (passed, text) = run_ci_test(Some(ONE_ENTRY), &cargo_output(&[]), false);
    assert!(passed && text.contains("(passed)"), "{text}");
    // The same name in another test binary, a second failure that is not listed, and a name that ends in the listed one.
    for failed in [
        &["nights::one"][..],
        &["gap::one", "gap::two"],
        &["nights::inner::one"],
    ] {
        assert!(
            !run_ci_test(Some(ONE_ENTRY), &cargo_output(failed), true).0,
            "{failed:?}"
        );
    }
    let nested_test = "nights::inner::one | cause | issue 1";
    assert!(
        run_ci_test(
            Some(nested_test),
            &cargo_output(&["nights::inner::one"]),
            true
        )
        .0
    );
}

#[test]
fn build_errors_and_crashes_are_not_passed_over() {
    assert!(!run_ci_test(Some(ONE_ENTRY), &cargo_output(&[]), true).0);
    let build_error = cargo_output(&["gap::one"]) + "error: could not compile `walnuttrestle`\n";
    assert!(!run_ci_test(Some(ONE_ENTRY), &build_error, true).0);
    let crashed =
        cargo_output(&["gap::one"]) + "process didn't exit successfully (signal: 6, SIGABRT)\n";
    assert!(!run_ci_test(Some(ONE_ENTRY), &crashed, true).0);
}

#[test]
fn invalid_list_fails() {
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
        let (passed, text) = run_ci_test(Some(list), &cargo_output(&[]), false);
        assert!(!passed, "the invalid list {list:?} was accepted: {text}");
        assert!(
            text.contains("KNOWN-RED.txt: "),
            "no message about KNOWN-RED.txt for {list:?}: {text}"
        );
    }
}
