//! Settings of the gateway, read from a TOML file. All tables are checked before the gateway starts. Use
//! [`load()`] for a file and [`read`] for TOML that is already in memory. Each [`SettingsError`] has the
//! file, the line, the problem and a remedy.
mod check;
mod error;
mod load;
mod raw;
mod types;

#[cfg(test)]
mod tests;

pub use check::{UrlError, parse_http_url};
pub use error::SettingsError;
pub use load::{load, read};
pub(crate) use types::plain_name;
pub use types::{Discovery, FleetSettings, Forecasts, Function, Log, Recovery, RequestTrace, Settings};
