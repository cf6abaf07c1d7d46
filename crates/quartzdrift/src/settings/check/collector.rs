//! Collects the errors of one settings file. Each check adds its errors to the [`ErrorCollector`] and
//! continues, so that one run finds all errors.
use crate::settings::SettingsError;
use crate::settings::load::line_of;
use std::ops::Range;

/// The errors found so far. Holds the text of the file to locate keys in it.
pub(super) struct ErrorCollector<'file> {
    file: &'file str,
    text: &'file str,
    errors: Vec<SettingsError>,
}

impl<'file> ErrorCollector<'file> {
    pub(super) fn new(file: &'file str, text: &'file str) -> Self {
        ErrorCollector {
            file,
            text,
            errors: Vec::new(),
        }
    }

    /// Adds an error at a byte range of the text. Only the line of its start is kept.
    pub(super) fn add(
        &mut self,
        position: Range<usize>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.errors.push(SettingsError {
            file: self.file.to_owned(),
            line: line_of(self.text, position.start),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    /// Adds an error at the header of a table.
    pub(super) fn add_at_table(
        &mut self,
        table: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.add(self.table(table), problem, remedy);
    }

    /// Adds an error at a key of a table.
    pub(super) fn add_at_key(
        &mut self,
        table: &str,
        key: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.add(self.key(table, key), problem, remedy);
    }

    /// Position of a table's header, or of the start of the file if the table is absent.
    pub(super) fn table(&self, name: &str) -> Range<usize> {
        let start = self.text.find(&format!("[{name}]")).unwrap_or(0);
        start..start
    }

    /// All errors, sorted by line. Errors of the same line are in the order in which they were added.
    pub(super) fn into_sorted(mut self) -> Vec<SettingsError> {
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }

    /// Position of a key in a table, or of the table's header if the key is absent.
    fn key(&self, table: &str, key: &str) -> Range<usize> {
        let header = self.table(table).start;
        let mut position = header;
        for (index, line) in self.text[header..].split_inclusive('\n').enumerate() {
            let start = position;
            position += line.len();
            if index == 0 {
                continue;
            }
            if line.trim_start().starts_with('[') {
                break;
            }
            if is_assignment_of(line, key) {
                return start..start;
            }
        }
        header..header
    }
}

/// Whether a line of TOML assigns a value to `key`, which must be written without quotes.
fn is_assignment_of(line: &str, key: &str) -> bool {
    line.trim_start()
        .strip_prefix(key)
        .is_some_and(|rest| rest.trim_start().starts_with('='))
}
