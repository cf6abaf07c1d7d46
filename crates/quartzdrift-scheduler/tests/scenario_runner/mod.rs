//! Runs the lines of a scenario; `scenarios.rs` describes the notation.
mod attempts;
mod expectations;
mod runner;
mod settings;
mod words;
mod workers;

pub(crate) use runner::Runner;
pub(crate) use words::Words;

/// The error describes an invalid line or an expectation that was not met.
type Result<T = ()> = std::result::Result<T, String>;
