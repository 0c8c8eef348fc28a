//! Merges the event files of all processes into one timeline.

use std::path::PathBuf;
use std::process::ExitCode;

use apricotwell_timeline::{Filter, merge, render, render_svg};

/// Merge event files of all processes into one timeline and print it.
///
/// Exit codes: 0 printed, 1 a file could not be read or contains a bad line, 2 wrong arguments.
#[derive(argh::FromArgs)]
struct Args {
    /// keep only this request, as `instance/incarnation/number`
    #[argh(option)]
    request: Option<String>,
    /// keep only this model or route
    #[argh(option)]
    model: Option<String>,
    /// keep only this key, by name
    #[argh(option)]
    key: Option<String>,
    /// print an SVG page instead of text
    #[argh(switch)]
    svg: bool,
    /// event files written by the processes
    #[argh(positional)]
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("apricotwell-timeline: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<String, String> {
    if args.files.is_empty() {
        return Err("no event files: pass at least one".to_owned());
    }
    let mut inputs = Vec::new();
    for file in &args.files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| format!("{}: {error}; check the path", file.display()))?;
        inputs.push(text);
    }
    let filter = Filter {
        request: args.request,
        model: args.model,
        key: args.key,
        kind: None,
    };
    let mut events = merge(&inputs).map_err(|error| error.to_string())?;
    events.retain(|event| filter.matches(event));
    Ok(if args.svg {
        render_svg(&events)
    } else {
        render(&events)
    })
}
