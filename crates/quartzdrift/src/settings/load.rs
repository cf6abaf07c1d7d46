//! Reads settings files. Use [`load`] for a path and [`read`] for TOML that is already in memory.
use super::check::check;
use super::raw::File;
use super::{Settings, SettingsError};
use std::path::Path;

/// Reads and checks a settings file.
///
/// # Errors
///
/// The file cannot be read, does not parse, or has invalid or contradictory settings. In the last case all
/// errors are returned, in the order of their lines.
pub fn load(path: &Path) -> Result<Settings, Vec<SettingsError>> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => read(&file, &text),
        Err(error) => Err(vec![SettingsError {
            file,
            line: 0,
            problem: format!("the settings file cannot be read: {error}"),
            remedy: "give the path of a readable settings file; 'quartzdrift serve --help' shows an example"
                .to_owned(),
        }]),
    }
}

/// Parses and checks the TOML in `text`. `file` is the file name in errors.
///
/// # Errors
///
/// The errors of [`load`], except that the only files read are the key files of `[fleet]`.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<SettingsError>> {
    match toml::from_str::<File>(text) {
        Ok(raw) => check(file, text, &raw),
        Err(error) => Err(vec![syntax_error(file, text, &error)]),
    }
}

/// The line, counted from 1, that contains the byte at `position`.
pub(super) fn line_of(text: &str, position: usize) -> usize {
    let line_breaks = text.bytes().take(position).filter(|byte| *byte == b'\n');
    line_breaks.count() + 1
}

fn syntax_error(file: &str, text: &str, error: &toml::de::Error) -> SettingsError {
    let (problem, remedy) = split_message(error.message());
    SettingsError {
        file: file.to_owned(),
        line: error.span().map_or(0, |span| line_of(text, span.start)),
        problem,
        remedy,
    }
}

/// Splits an error message of the TOML deserializer into the problem and the remedy.
fn split_message(message: &str) -> (String, String) {
    if let Some((problem, expected)) = message.split_once(", expected ") {
        return (problem.to_owned(), format!("write {expected}"));
    }
    if let Some((problem, remedy)) = message.split_once("; ") {
        return (problem.to_owned(), remedy.to_owned());
    }
    let remedy = match message.strip_prefix("missing field ") {
        Some(field) => format!("add {field}"),
        None => "see docs/operations.md for the format of this setting".to_owned(),
    };
    (message.to_owned(), remedy)
}
