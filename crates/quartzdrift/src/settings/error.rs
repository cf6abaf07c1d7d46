//! The error of a settings file. Print it as it is: its text has the position, the problem and, on a second
//! line, the remedy.

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}{}: {problem}{}", line_suffix(*.line), remedy_suffix(.remedy))]
pub struct SettingsError {
    /// The file's name, as it was given.
    pub file: String,
    /// Line of the problem, from 1; 0 where it concerns the file as a whole.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
    /// How to correct it; empty where there is no advice.
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
    format!("\n    mend: {remedy}")
}
