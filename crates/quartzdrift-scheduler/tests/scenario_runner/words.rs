//! The words of a scenario's line, and the parsing of their values.
use super::Result;
use std::str::FromStr;
use std::time::Duration;

/// The words of a line. The first word is the line's keyword.
pub(crate) struct Words<'a>(Vec<&'a str>);

impl<'a> Words<'a> {
    /// Returns the words of a line before its comment.
    pub(crate) fn of_line(line: &'a str) -> Words<'a> {
        let text = line.split('#').next().unwrap_or("");
        Words(text.split_whitespace().collect())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn get(&self, index: usize) -> Option<&'a str> {
        self.0.get(index).copied()
    }

    /// Returns the words from `index` on; empty if the line has no more words.
    pub(crate) fn from(&self, index: usize) -> &[&'a str] {
        self.0.get(index..).unwrap_or_default()
    }

    pub(crate) fn joined(&self) -> String {
        self.0.join(" ")
    }

    pub(crate) fn number<T: FromStr>(&self, index: usize) -> Result<T> {
        parse_number(self.get(index).unwrap_or(""))
    }

    pub(crate) fn duration(&self, index: usize) -> Result<Duration> {
        parse_duration(self.get(index).unwrap_or(""))
    }

    /// Returns the value of a word `KEY=VALUE`; `None`: the line has no such word.
    pub(crate) fn value(&self, key: &str) -> Option<&'a str> {
        self.0.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    pub(crate) fn number_value<T: FromStr>(&self, key: &str) -> Result<Option<T>> {
        self.value(key).map(parse_number).transpose()
    }

    pub(crate) fn duration_value(&self, key: &str) -> Result<Option<Duration>> {
        self.value(key).map(parse_duration).transpose()
    }
}

pub(crate) fn parse_number<T: FromStr>(text: &str) -> Result<T> {
    text.parse().map_err(|_| format!("{text:?} is not a number of the expected type"))
}

/// Parses a duration such as `100ms` or `1.5s`.
pub(crate) fn parse_duration(text: &str) -> Result<Duration> {
    let (count, unit) = text.split_at(text.find(|c: char| c.is_alphabetic()).unwrap_or(text.len()));
    let count: f64 = count.parse().map_err(|_| format!("duration {text:?} does not start with a number"))?;
    match unit {
        "s" => Ok(Duration::from_secs_f64(count)),
        "ms" => Ok(Duration::from_secs_f64(count / 1000.0)),
        _ => Err(format!("duration {text:?} has the unit {unit:?}, expected s or ms")),
    }
}
