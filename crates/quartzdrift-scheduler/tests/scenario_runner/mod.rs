//! Plays the lines of a scenario; the notation is described in `scenarios.rs`.
mod attempts;
mod expectations;
mod runner;
mod settings;
mod words;
mod workers;

pub(crate) use runner::Runner;
pub(crate) use words::Words;

/// What is wrong with a line, or which of its expectations failed.
type Result<T = ()> = std::result::Result<T, String>;
