//! The seeds of randomly generated scenarios.
use std::ops::Range;

/// Returns the range in an environment variable, such as `100..150`, or `default` if the variable is not set.
pub fn from_environment(variable: &str, default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else {
        return default;
    };
    let (first, end) = text
        .split_once("..")
        .expect("a range of seeds must have the form 100..150");
    first.parse().expect("the first seed must be a number")
        ..end.parse().expect("the last seed must be a number")
}
