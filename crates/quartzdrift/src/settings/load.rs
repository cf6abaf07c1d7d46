//! Reading of a settings file. Use [`load`] for a path, [`read`] for a text that is already in memory.
use super::check::check;
use super::raw::File;
use super::{Settings, SettingsError};
use std::path::Path;

/// Reads and checks a file.
///
/// # Errors
///
/// The file cannot be read or is no TOML of the right form, or its settings contradict each other: then all
/// problems, in the order of their lines.
pub fn load(path: &Path) -> Result<Settings, Vec<SettingsError>> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => read(&file, &text),
        Err(error) => Err(vec![SettingsError {
            file,
            line: 0,
            problem: format!("cannot be read: {error}"),
            remedy: "name a settings file that can be read; 'quartzdrift serve --help' shows a small one"
                .to_owned(),
        }]),
    }
}

/// Reads and checks a text; `file` is its name in errors.
///
/// # Errors
///
/// As for [`load`], except that nothing is read from a disk but the key files of `[fleet]`.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<SettingsError>> {
    match toml::from_str::<File>(text) {
        Ok(raw) => check(file, text, &raw),
        Err(error) => Err(vec![syntax_error(file, text, &error)]),
    }
}

/// Line of a byte of the text, from 1.
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

/// Splits a message of the deserializer into the problem and the remedy.
fn split_message(message: &str) -> (String, String) {
    if let Some((problem, expected)) = message.split_once(", expected ") {
        return (problem.to_owned(), format!("write {expected}"));
    }
    if let Some((problem, remedy)) = message.split_once("; ") {
        return (problem.to_owned(), remedy.to_owned());
    }
    let remedy = match message.strip_prefix("missing field ") {
        Some(field) => format!("add {field}"),
        None => "see docs/operations.md for the form of this setting".to_owned(),
    };
    (message.to_owned(), remedy)
}
