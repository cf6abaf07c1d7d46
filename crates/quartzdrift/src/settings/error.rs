//! The error type for settings files. Its `Display` text has the position and the problem, and on a second
//! line the remedy.

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}{}: {problem}{}", line_suffix(*.line), remedy_suffix(.remedy))]
pub struct SettingsError {
    /// Path or name of the settings file, as the caller gave it.
    pub file: String,
    /// Line of the problem, counted from 1; 0 if the problem concerns the whole file.
    pub line: usize,
    /// Description of the error: the setting and its value.
    pub problem: String,
    /// How to correct the setting; empty if no correction is known.
    pub remedy: String,
}

fn line_suffix(line: usize) -> String {
    match line {
        0 => String::new(),
        _ => format!(":{line}"),
    }
}

fn remedy_suffix(remedy: &str) -> String {
    if remedy.is_empty() {
        return String::new();
    }
    format!("\n    fix: {remedy}")
}
