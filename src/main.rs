//! Command line of walnuttrestle.

use clap::Parser;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use walnuttrestle::controller::runtime;
use walnuttrestle::policy::{Policy, PolicyError};
use walnuttrestle::protocol::Settings;

/// A controller of the walnuttrestle cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Settings file (TOML) provided by the platform
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' policy script (Lua); built-in defaults apply without it
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Check settings and policy, then exit
    #[arg(long)]
    check: bool,
}

/// Exit code if settings or policy are missing or invalid; clap uses the same code for invalid arguments.
const INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    start_logging();
    let settings = match Settings::load(&args.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("walnuttrestle: settings: {error}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    let policy = match load_policy(&args) {
        Ok(policy) => policy,
        Err(error) => {
            eprintln!("walnuttrestle: policy: {error}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("{} and its policy are fine", args.config.display());
        return ExitCode::SUCCESS;
    }
    match runtime::run(settings, policy) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("walnuttrestle: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Logs to the standard error at the level set by `LOG_LEVEL`.
fn start_logging() {
    let env = env_logger::Env::default().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env)
        .format(|output, record| {
            let level = record.level().as_str().to_lowercase();
            writeln!(output, "{level:5} {}", record.args())
        })
        .target(env_logger::Target::Stderr)
        .init();
}

/// Loads the policy script; without one, returns the default policy.
fn load_policy(args: &Args) -> Result<Policy, PolicyError> {
    match &args.policy {
        Some(path) => Policy::load(path),
        None => Ok(Policy::default()),
    }
}
