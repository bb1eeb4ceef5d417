//! The finchwood program: parses its arguments and starts a controller.

use clap::Parser;
use finchwood::config::features::{FeatureError, Features};
use finchwood::config::policy::{Policy, PolicyError};
use finchwood::config::settings::{Settings, SettingsError};
use finchwood::controller::{self, StartError};
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;
use tracing::Level;

/// One controller of a finchwood cluster.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Args {
    /// The settings file that the platform hands over (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings, a Lua script.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// A file that switches on a part of the program (TOML); once for each part.
    #[arg(long = "with", value_name = "FILE")]
    with: Vec<PathBuf>,
}

/// The reason why the controller could not be started.
#[derive(Debug, Error)]
enum Error {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Policy(#[from] PolicyError),
    #[error(transparent)]
    Features(#[from] FeatureError),
    #[error(transparent)]
    Controller(#[from] StartError),
}

/// Sets up logging to the standard error stream. The environment variable `LOG_LEVEL` sets
/// the level: `debug` or `info`; any other value, or none, means `error`.
fn init_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => Level::DEBUG,
        Ok("info") => Level::INFO,
        _ => Level::ERROR,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}

/// Loads the configuration files and runs a controller. Returns an error if the controller
/// cannot be started; otherwise returns only when its event loop ends.
fn run(args: &Args) -> Result<(), Error> {
    let settings = Settings::load(&args.config)?;
    let policy = match &args.policy {
        Some(path) => Policy::load(path)?,
        None => Policy::default(),
    };
    let features = Features::load(&args.with)?;
    controller::run(settings, policy, &features)?;
    Ok(())
}

fn main() -> ExitCode {
    let args = Args::parse();
    init_logging();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("finchwood: {error}");
            ExitCode::FAILURE
        }
    }
}
