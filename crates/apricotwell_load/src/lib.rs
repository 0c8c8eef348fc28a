//! Load and experiment tools.
//!
//! [`run_streams`] measures how many streamed events a process forwards per core, [`run_paced`]
//! measures the latency at a constant rate, and [`run_workload`] sends the requests of a workload
//! file and reports results for each organisation. Results are serialized as JSON; [`render_bars`]
//! draws values as an SVG bar chart.
//!
//! # Examples
//!
//! ```
//! use apricotwell_load::{LatencyHistogram, render_bars};
//!
//! let mut latency = LatencyHistogram::default();
//! latency.record(std::time::Duration::from_millis(3));
//! assert_eq!(latency.summary().count, 1);
//! assert!(render_bars("first byte", &[("p50".to_owned(), 3.0)]).starts_with("<svg"));
//! ```

mod client;
mod cpu;
mod latency;
mod paced;
mod plot;
mod streams;
mod workload;

pub use client::{ApiClient, ApiResponse};
pub use cpu::cpu_seconds;
pub use latency::{LatencyHistogram, LatencySummary};
pub use paced::{PacedOptions, PacedResult, run_paced};
pub use plot::render_bars;
pub use streams::{StreamOptions, StreamResult, run_streams};
pub use workload::{OrgResult, Workload, WorkloadResult, run_workload};
