//! Stand-in for a plain service.

use std::process::ExitCode;

use apricotwell_standins::{ServiceArgs, run_service};

#[actix_web::main]
async fn main() -> ExitCode {
    let args: ServiceArgs = argh::from_env();
    if let Err(error) = apricotwell_logging::init("standin-service", "info") {
        eprintln!("standin-service: {error}");
        return ExitCode::FAILURE;
    }
    match run_service(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}; check the arguments");
            ExitCode::FAILURE
        }
    }
}
