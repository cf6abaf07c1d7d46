//! Checks of `on_success` and `on_failure` in `[deferred]` and `[[functions]]`: the destinations of events
//! about asynchronous invocations.
use super::collector::ErrorCollector;
use super::url::parse_http_url;
use crate::settings::plain_name;
use crate::settings::raw::{DestinationEntry, File};
use quartzdrift_async_queue::Destination;
use std::ops::Range;

/// Checks and converts a destination. Errors are added at `position`, the byte range of the table.
pub(super) fn check(
    entry: &Option<DestinationEntry>,
    raw: &File,
    position: Range<usize>,
    errors: &mut ErrorCollector,
) -> Option<Destination> {
    let entry = entry.as_ref()?;
    match (&entry.function, &entry.url) {
        (Some(name), None) => Some(function_destination(name, raw, position, errors)),
        (None, Some(url)) => Some(url_destination(url, position, errors)),
        _ => {
            errors.add(
                position,
                "a destination must have either function or url",
                "write either function = \"name\" or url = \"http://...\"",
            );
            None
        }
    }
}

fn function_destination(
    name: &str,
    raw: &File,
    position: Range<usize>,
    errors: &mut ErrorCollector,
) -> Destination {
    let plain = plain_name(name);
    let is_named = raw.functions.iter().any(|function| {
        let function = &function.get_ref().name;
        function == name || function == plain
    });
    if !is_named && raw.gateway.default_request_class.is_none() {
        errors.add(
            position,
            format!("the destination function '{name}' is not defined"),
            "name a function from [[functions]]",
        );
    }
    Destination::Function(name.to_owned())
}

fn url_destination(url: &str, position: Range<usize>, errors: &mut ErrorCollector) -> Destination {
    if let Err(error) = parse_http_url(url) {
        errors.add(
            position,
            format!("the destination URL '{url}' is invalid: {error}"),
            "write it like \"http://127.0.0.1:8080/path\"",
        );
    }
    Destination::Url(url.to_owned())
}
