//! Errors in the simulator's input.
use std::{fmt, io};
use thiserror::Error;

/// The named field of a line is missing, or its value cannot be parsed.
#[derive(Debug, Error)]
#[error("field '{0}' is missing or invalid")]
pub(crate) struct InvalidField(pub(crate) &'static str);

/// Reason for which an instance of the scheduler cannot be started.
#[derive(Debug, Error)]
pub(crate) enum OpenInstanceError {
    #[error(transparent)]
    Field(#[from] InvalidField),
    #[error("the settings are not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings are valid JSON, but a setting is missing or invalid.
    #[error("{0}")]
    Settings(String),
}

/// Reason for which a line is ignored.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    #[error(transparent)]
    Field(#[from] InvalidField),
    #[error(transparent)]
    Write(#[from] fmt::Error),
}

/// Reason for which the host stops before the end of its input.
#[derive(Debug, Error)]
pub(crate) enum HostError {
    /// An instance cannot be started. The host stops, because the instance's requests would get no final
    /// response.
    #[error("cannot start an instance of the scheduler: {0}")]
    OpenInstance(#[from] OpenInstanceError),
    #[error(transparent)]
    Io(#[from] io::Error),
}
