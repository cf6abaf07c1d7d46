//! The seeds of a drawn run.
use std::ops::Range;

/// Those that an environment variable names, as in `100..150`; `default` where it is not set.
pub fn from_environment(variable: &str, default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(variable) else {
        return default;
    };
    let (first, end) = text.split_once("..").expect("seeds as in 100..150");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}
