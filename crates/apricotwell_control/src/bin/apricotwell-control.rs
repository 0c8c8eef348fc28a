//! Command-line tool for operators.

use std::process::ExitCode;

use apricotwell_control::{Args, run_command};

#[actix_web::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run_command(args).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("apricotwell-control: {message}");
            ExitCode::FAILURE
        }
    }
}
