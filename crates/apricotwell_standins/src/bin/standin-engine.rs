//! Stand-in for a model engine.

use std::process::ExitCode;

use apricotwell_standins::{EngineArgs, run_engine};

#[actix_web::main]
async fn main() -> ExitCode {
    let args: EngineArgs = argh::from_env();
    if let Err(error) = apricotwell_logging::init("standin-engine", "info") {
        eprintln!("standin-engine: {error}");
        return ExitCode::FAILURE;
    }
    match run_engine(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}; check the arguments");
            ExitCode::FAILURE
        }
    }
}
