//! Command line of walnuttrestle.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use walnuttrestle::controller::runtime;
use walnuttrestle::policy::Policy;
use walnuttrestle::protocol::Settings;

/// A controller of the walnuttrestle cluster scheduler.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Settings file (TOML), as handed over by the platform
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' policy script (Lua); built-in defaults apply without it
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Check settings and policy, then exit
    #[arg(long)]
    check: bool,
}

/// Exit code for settings that are missing or invalid (clap's own for wrong arguments, too).
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = Args::parse();
    let env = env_logger::Env::default().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env)
        .format(|f, r| {
            use std::io::Write;
            writeln!(f, "{:5} {}", r.level().as_str().to_lowercase(), r.args())
        })
        .target(env_logger::Target::Stderr)
        .init();
    let settings = match Settings::load(&args.config) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("walnuttrestle: settings: {e}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let policy = match args.policy.as_deref().map(Policy::load).transpose() {
        Ok(p) => p.unwrap_or_default(),
        Err(e) => {
            eprintln!("walnuttrestle: policy: {e}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("{} and its policy are fine", args.config.display());
        return ExitCode::SUCCESS;
    }
    match runtime::run(settings, policy) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("walnuttrestle: {e}");
            ExitCode::FAILURE
        }
    }
}
