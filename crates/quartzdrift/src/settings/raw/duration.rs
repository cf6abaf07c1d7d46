//! Durations in a settings file, written as a string with a unit, like "250ms". Use [`HumanDuration`] as the
//! type of each key that holds a duration.
use serde::Deserialize;
use serde::de::{Deserializer, Error, Visitor};
use std::time::Duration;

/// A duration, written like "250ms", "1s 500ms" or "2m".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HumanDuration(pub(crate) Duration);

impl<'de> Deserialize<'de> for HumanDuration {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<HumanDuration, D::Error> {
        struct DurationVisitor;
        impl Visitor<'_> for DurationVisitor {
            type Value = HumanDuration;
            fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
                formatter
                    .write_str("a duration with its unit in quotes, like \"250ms\", \"1s 500ms\" or \"2m\"")
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<HumanDuration, E> {
                humantime::parse_duration(text).map(HumanDuration).map_err(|e| {
                    E::custom(format!(
                        "'{text}' is not a duration ({e}); write it like \"250ms\" or \"1s 500ms\""
                    ))
                })
            }
        }
        from.deserialize_any(DurationVisitor)
    }
}
