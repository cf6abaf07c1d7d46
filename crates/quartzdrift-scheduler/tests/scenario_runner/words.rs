//! The words of a line, and the values that are read from them.
use super::Result;
use std::str::FromStr;
use std::time::Duration;

/// The words of a line; the first says what the line is.
pub(crate) struct Words<'a>(Vec<&'a str>);

impl<'a> Words<'a> {
    /// The words of a line before its remark.
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

    /// The words from `index` on, perhaps none.
    pub(crate) fn from(&self, index: usize) -> &[&'a str] {
        self.0.get(index..).unwrap_or_default()
    }

    pub(crate) fn joined(&self) -> String {
        self.0.join(" ")
    }

    pub(crate) fn number<T: FromStr>(&self, index: usize) -> Result<T> {
        let word = self.get(index);
        word.and_then(|word| word.parse().ok()).ok_or(format!("no number: {word:?}"))
    }

    pub(crate) fn duration(&self, index: usize) -> Result<Duration> {
        duration(self.get(index).unwrap_or(""))
    }

    /// The value of a word such as `customer=1`.
    pub(crate) fn value(&self, key: &str) -> Option<&'a str> {
        self.0.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    pub(crate) fn number_of<T: FromStr>(&self, key: &str) -> Result<Option<T>> {
        self.value(key).map(number).transpose()
    }

    pub(crate) fn duration_of(&self, key: &str) -> Result<Option<Duration>> {
        self.value(key).map(duration).transpose()
    }
}

pub(crate) fn number<T: FromStr>(text: &str) -> Result<T> {
    text.parse().map_err(|_| format!("no number: {text:?}"))
}

pub(crate) fn duration(text: &str) -> Result<Duration> {
    let (count, unit) = text.split_at(text.find(|c: char| c.is_alphabetic()).unwrap_or(text.len()));
    let count: f64 = count.parse().map_err(|_| format!("no time: {text}"))?;
    match unit {
        "s" => Ok(Duration::from_secs_f64(count)),
        "ms" => Ok(Duration::from_secs_f64(count / 1000.0)),
        _ => Err(format!("no unit of time: {text}")),
    }
}
