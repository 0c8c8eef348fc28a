//! Load and experiment tool.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use apricotwell_load::{
    PacedOptions, StreamOptions, Workload, render_bars, run_paced, run_streams, run_workload,
};

/// Load and experiment tool; prints results as JSON.
///
/// Send load only to instances that you run. Exit codes: 0 success, 1 failure, 2 invalid arguments.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Streams(Streams),
    Paced(Paced),
    Workload(RunWorkload),
}

/// Measure streamed events per second and core.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "streams")]
struct Streams {
    /// address of the instance, as ip:port
    #[argh(option)]
    address: String,
    /// API key
    #[argh(option, default = "String::new()")]
    key: String,
    /// requested model
    #[argh(option)]
    model: String,
    /// number of concurrent streams
    #[argh(option, default = "16")]
    streams: usize,
    /// number of tokens of each stream
    #[argh(option, default = "500")]
    tokens: u64,
    /// duration in seconds
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// id of the process whose CPU time is measured
    #[argh(option)]
    pid: u32,
}

/// Measure latency at a constant request rate.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "paced")]
struct Paced {
    /// address of the instance, as ip:port
    #[argh(option)]
    address: String,
    /// API key
    #[argh(option, default = "String::new()")]
    key: String,
    /// requested model
    #[argh(option)]
    model: String,
    /// requests per second
    #[argh(option)]
    rate: f64,
    /// duration in seconds
    #[argh(option, default = "5.0")]
    seconds: f64,
}

/// Send the requests of a workload file and report results for each organisation.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "workload")]
struct RunWorkload {
    /// JSON file with the workload
    #[argh(positional)]
    file: PathBuf,
    /// SVG file for a plot of the 99th percentiles
    #[argh(option)]
    plot: Option<PathBuf>,
}

#[actix_web::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args).await {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("apricotwell-load: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<String, String> {
    let text = match args.command {
        Command::Streams(streams) => {
            let options = StreamOptions {
                address: streams.address,
                key: streams.key,
                model: streams.model,
                streams: streams.streams,
                tokens: streams.tokens,
                duration: Duration::from_secs_f64(streams.seconds),
                pid: streams.pid,
            };
            serde_json::to_string(&run_streams(&options).await)
        }
        Command::Paced(paced) => {
            let options = PacedOptions {
                address: paced.address,
                key: paced.key,
                model: paced.model,
                rate: paced.rate,
                duration: Duration::from_secs_f64(paced.seconds),
            };
            serde_json::to_string(&run_paced(&options).await)
        }
        Command::Workload(command) => {
            let name = command.file.display().to_string();
            let text = std::fs::read_to_string(&command.file)
                .map_err(|error| format!("{name}: {error}; pass the path of a workload file"))?;
            let workload: Workload = serde_json::from_str(&text)
                .map_err(|error| format!("{name}: {error}; see docs/operating/load.md"))?;
            let result = run_workload(&workload).await;
            if let Some(plot) = command.plot {
                let orgs = result.organisations.iter();
                let bars: Vec<(String, f64)> = orgs
                    .map(|(org, result)| (org.clone(), result.first_byte.p99_ms))
                    .collect();
                let svg = render_bars("first byte, 99th percentile, ms", &bars);
                std::fs::write(&plot, svg).map_err(|error| error.to_string())?;
            }
            serde_json::to_string_pretty(&result)
        }
    };
    text.map_err(|error| error.to_string())
}
