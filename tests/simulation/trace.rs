//! A digest of everything that the controllers of one simulation send. Equal digests show that a refactoring does not
//! change behaviour. `.ci/trace` runs the tests with it, and `.ci/trace-diff` compares two outputs.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use walnuttrestle::transport::NetworkCommand;

/// Environment variable with the path of the file to which each simulation appends its digest when it ends. If it is
/// not set, nothing is written.
const FILE_VARIABLE: &str = "TRACE_FILE";

/// Digest of the commands that all controllers of one simulation issue to the network.
#[derive(Default)]
pub struct Trace {
    /// `DefaultHasher::new` uses fixed keys, so equal input gives equal digests in every run.
    digest: DefaultHasher,
    commands: u64,
}

impl Trace {
    /// Adds one command: simulated time, sender, receiver and encoded bytes. Type names and log text are excluded, so
    /// that renames and reworded messages do not change the digest.
    pub fn add(&mut self, now: u64, controller: usize, command: &NetworkCommand) {
        self.commands += 1;
        (now, controller).hash(&mut self.digest);
        match command {
            NetworkCommand::Respond {
                conn,
                status,
                body,
                retry_after,
            } => (0, conn, status, body, retry_after).hash(&mut self.digest),
            NetworkCommand::Call(call) => {
                let head = (1, call.addr, call.method, &call.path, &call.body);
                head.hash(&mut self.digest);
                call.timeout.0.hash(&mut self.digest);
            }
        }
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let Some(path) = std::env::var_os(FILE_VARIABLE) else {
            return;
        };
        let thread = std::thread::current();
        let test = thread.name().unwrap_or("?").to_string();
        let line = format!("{:016x} {} {test}\n", self.digest.finish(), self.commands);
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path);
        if let Ok(mut file) = file {
            // A line that cannot be written shows up as a missing digest.
            let _ = file.write_all(line.as_bytes());
        }
    }
}
