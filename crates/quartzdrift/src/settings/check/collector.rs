//! Collects the errors of one settings file. Use [`ErrorCollector`] in each check: a check reports and goes
//! on, so that one run finds all errors.
use crate::settings::SettingsError;
use crate::settings::load::line_of;
use std::ops::Range;

/// The errors found so far, and the file's text, in which keys are located.
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

    /// Reports an error at a range of bytes of the text.
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

    /// Reports an error at the header of a table.
    pub(super) fn add_at_table(
        &mut self,
        table: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.add(self.table(table), problem, remedy);
    }

    /// Reports an error at a key of a table.
    pub(super) fn add_at_key(
        &mut self,
        table: &str,
        key: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.add(self.key(table, key), problem, remedy);
    }

    /// Position of a table's header; the start of the file where the table is absent.
    pub(super) fn table(&self, name: &str) -> Range<usize> {
        let start = self.text.find(&format!("[{name}]")).unwrap_or(0);
        start..start
    }

    /// All errors, sorted by line; errors of one line stay in the order of the checks.
    pub(super) fn into_sorted(mut self) -> Vec<SettingsError> {
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }

    /// Position of a key in a table; the table's header where the key is absent.
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

/// Whether a line of TOML assigns a value to `key`.
fn is_assignment_of(line: &str, key: &str) -> bool {
    line.trim_start()
        .strip_prefix(key)
        .is_some_and(|rest| rest.trim_start().starts_with('='))
}
