//! What of the input cannot be used.
use std::{fmt, io};
use thiserror::Error;

/// A field of a line that is missing or cannot be read.
#[derive(Debug, Error)]
#[error("'{0}' is missing or unreadable")]
pub(crate) struct UnreadableField(pub(crate) &'static str);

/// Why an instance cannot be started.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    #[error(transparent)]
    Field(#[from] UnreadableField),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings hold rules that no scheduler can follow.
    #[error("{0}")]
    Settings(String),
}

/// Why a line for an instance has no effect.
#[derive(Debug, Error)]
pub(crate) enum LineError {
    #[error(transparent)]
    Field(#[from] UnreadableField),
    #[error(transparent)]
    Write(#[from] fmt::Error),
}

/// Why the host ends before its input does.
#[derive(Debug, Error)]
pub(crate) enum HostError {
    /// Requests of an instance that did not start would go unanswered.
    #[error("the settings cannot be used: {0}")]
    Open(#[from] OpenError),
    #[error(transparent)]
    Io(#[from] io::Error),
}
