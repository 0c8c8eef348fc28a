//! Stand-in for the platform.

use std::process::ExitCode;

use apricotwell_standins::{PlatformArgs, run_platform};

#[actix_web::main]
async fn main() -> ExitCode {
    let args: PlatformArgs = argh::from_env();
    if let Err(error) = apricotwell_logging::init("standin-platform", "info") {
        eprintln!("standin-platform: {error}");
        return ExitCode::FAILURE;
    }
    match run_platform(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}; check the arguments");
            ExitCode::FAILURE
        }
    }
}
