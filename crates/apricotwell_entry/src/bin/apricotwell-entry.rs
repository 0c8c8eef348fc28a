//! The entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use apricotwell_entry::{Settings, StopSignals, run_daemon};

/// Entry daemon: serves clients and takes part in the fleet's coordination.
///
/// Settings are described in docs/SETTINGS.md. The first SIGTERM or SIGINT drains the instance, a
/// second one stops it immediately. Exit codes: 0 drained, 1 could not run, 2 invalid arguments, 3
/// invalid settings.
#[derive(argh::FromArgs)]
struct Args {
    /// TOML file with the settings
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

const INVALID_SETTINGS: u8 = 3;

#[actix_web::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    // Before the settings are read, since a signal without a handler kills the process.
    let signals = match StopSignals::install() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("apricotwell-entry: signal handlers can't be installed: {error}");
            return ExitCode::FAILURE;
        }
    };
    let settings = match load(&args.settings) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("apricotwell-entry: {message}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("{}: fine", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match run_daemon(settings, signals).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("apricotwell-entry: {report:?}");
            ExitCode::FAILURE
        }
    }
}

fn load(path: &PathBuf) -> Result<Settings, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{name}: {error}; use the path of a settings file"))?;
    Settings::from_toml(&name, &text).map_err(|error| error.to_string())
}
