//! Checks of a deserialized settings file, with one module for each group of tables. Use [`check`] to convert
//! a [`super::raw::File`] to [`super::Settings`]. It reports all errors, each with its line and a remedy.
mod asynchronous;
mod collector;
mod destinations;
mod fleet;
mod forecasts;
mod functions;
mod gateway;
mod key_file;
mod limits;
mod recovery;
mod request_classes;
mod rules;
mod schedules;
mod tenants;
mod url;
mod whole_file;
mod workers;

pub use url::{UrlError, parse_http_url};
pub(super) use whole_file::check;
