//! The program: reads its arguments and starts a controller.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

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

fn log() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("info") => tracing::Level::INFO,
        _ => tracing::Level::ERROR,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}

fn main() -> ExitCode {
    let args = Args::parse();
    log();
    let ready = finchwood::config::settings::Settings::load(&args.config)
        .map_err(|e| e.to_string())
        .and_then(|s| {
            let policy = match &args.policy {
                Some(path) => {
                    finchwood::config::policy::Policy::load(path).map_err(|e| e.to_string())?
                }
                None => Default::default(),
            };
            let features = finchwood::config::features::Features::load(&args.with)
                .map_err(|e| e.to_string())?;
            Ok((s, policy, features))
        });
    let ended = ready.and_then(|(settings, policy, features)| {
        finchwood::controller::run(settings, policy, &features)
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("finchwood: {why}");
            ExitCode::FAILURE
        }
    }
}
