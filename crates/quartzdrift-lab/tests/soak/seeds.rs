//! The seeds of randomly generated scenarios.
use std::ops::Range;

/// Returns the range in an environment variable, such as `100..150`, or `default` if the variable is not set.
pub fn from_environment(variable: &str, default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else {
        return default;
    };
    let bounds = text
        .split_once("..")
        .and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    bounds.unwrap_or_else(|| panic!("{variable} must be a range of seeds such as 100..150, not {text:?}"))
}
