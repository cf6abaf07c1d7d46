//! Validates the fields of a client's request before it is sent to a worker.
//!
//! A worker that cannot decode a command closes the whole connection, with every attempt on it. A field that
//! a worker might not be able to decode is therefore rejected here.
use quartzdrift_scheduler::interface::{Idempotency, RequestClass, Settings, Tenant};
use std::time::Duration;

/// Maximum accepted hint for the memory of a replica, in megabytes; no machine has more.
const MAX_MEMORY_MB: f64 = 1e7;
/// Largest accepted hint for the concurrency of a replica; no machine runs more requests at a time.
const MAX_CONCURRENCY_SLOTS: f64 = 1e5;
/// Maximum accepted hint for the duration of a load or of the execution, in milliseconds; no load takes
/// longer.
const MAX_HINT_MS: f64 = 3.6e6;
/// Maximum excess of a client's timeout over the timeout of its request class, to allow for rounding.
const TIMEOUT_ROUNDING: Duration = Duration::from_millis(5);
/// Number of hexadecimal digits in a request id and in a function id.
const ID_DIGITS: usize = 16;
/// Longest accepted idempotency key, in bytes; a SHA-256 in hexadecimal digits has 64.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Fields of a request as they arrived; `None` for a missing one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestFields<'a> {
    /// Path of the request, `/do/CLASS` (CGI `SCRIPT_NAME`).
    pub path: Option<&'a str>,
    /// Id of the request, chosen by the client: 16 hexadecimal digits.
    pub id: Option<&'a str>,
    /// Time that the client still waits for a response, in milliseconds.
    pub timeout_ms: Option<&'a str>,
    /// Id of the function to run: 16 hexadecimal digits.
    pub function: Option<&'a str>,
    /// Key by which workers recognize a repeated request.
    pub idempotency_key: Option<&'a str>,
    /// Name of the tenant.
    pub tenant: Option<&'a str>,
    /// Resource needs of the function, as `name:number` pairs separated by semicolons.
    pub resource_hints: Option<&'a str>,
    /// Length of the body that the client states, in bytes.
    pub content_length: Option<&'a str>,
    /// Length of the body that arrived, in bytes.
    pub body_bytes: usize,
}

/// A request whose fields are valid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRequest<'a> {
    /// Id of the request, chosen by the client.
    pub id: u64,
    /// Index of the request class in the settings.
    pub request_class: u32,
    /// Index of the tenant in the settings. All requests with a missing or unknown tenant share the index
    /// after the last one.
    pub tenant: u32,
    /// Id of the function: 16 hexadecimal digits.
    pub function: &'a str,
    /// Idempotency key, which is passed to the worker unchanged; always present if the request class requires
    /// one.
    pub idempotency_key: Option<&'a str>,
    /// Time that the client still waits for a response.
    pub time_remaining: Duration,
    /// Memory of a loaded replica, in megabytes.
    pub memory_mb: Option<f64>,
    /// Requests that a loaded replica executes at a time.
    pub concurrency_slots: Option<f64>,
    /// Estimated time to load the function.
    pub load_hint: Option<Duration>,
    /// Estimated work of this request.
    pub work_hint: Option<Duration>,
}

/// The field for which a request is rejected; the first one if several are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldError {
    /// The path is not under `/do/`.
    Path,
    /// The path names no request class of the settings.
    RequestClass,
    /// The request id is missing or malformed.
    Id,
    /// The function id is missing or malformed.
    Function,
    /// The idempotency key is missing where it is required, or malformed.
    IdempotencyKey,
    /// The tenant is given twice or is not valid text.
    Tenant,
    /// The timeout is missing, malformed, zero or longer than the request class allows.
    Time,
    /// A resource hint is malformed or out of range.
    ResourceHints,
    /// The stated length is malformed or differs from the length of the body.
    Length,
}

impl FieldError {
    /// HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            FieldError::Path | FieldError::RequestClass => 404,
            FieldError::Id
            | FieldError::Function
            | FieldError::IdempotencyKey
            | FieldError::Tenant
            | FieldError::Time
            | FieldError::ResourceHints
            | FieldError::Length => 400,
        }
    }

    /// Body of the response.
    pub fn text(self) -> &'static str {
        match self {
            FieldError::Path => "no such path",
            FieldError::RequestClass => "no such class",
            FieldError::Id => "the id is not 16 hex digits",
            FieldError::Function => "the function is not 16 hex digits",
            FieldError::IdempotencyKey => {
                "the idempotency key is missing, or no word of letters, digits, '-' and '_'"
            }
            FieldError::Tenant => "the tenant is given twice, or is no text",
            FieldError::Time => "the time is no number of milliseconds in range",
            FieldError::ResourceHints => "a figure is no number in range",
            FieldError::Length => "the length told is not the body's",
        }
    }
}

/// Validates the fields of a request against the settings.
///
/// # Errors
/// The first field that is missing, malformed or out of range.
pub fn read<'a>(fields: &RequestFields<'a>, settings: &Settings) -> Result<PlatformRequest<'a>, FieldError> {
    let request_class = class_index(fields.path, &settings.request_classes)?;
    let class = &settings.request_classes[request_class];
    let id = valid_id(fields.id)
        .and_then(|id| u64::from_str_radix(id, 16).ok())
        .ok_or(FieldError::Id)?;
    let function = valid_id(fields.function).ok_or(FieldError::Function)?;
    let idempotency_key = idempotency_key(fields.idempotency_key, class)?;
    let time_remaining = time_remaining(fields.timeout_ms, class)?;
    check_length(fields.content_length, fields.body_bytes)?;
    let request = PlatformRequest {
        id,
        request_class: request_class as u32,
        tenant: tenant_index(fields.tenant, &settings.tenants),
        function,
        idempotency_key,
        time_remaining,
        memory_mb: None,
        concurrency_slots: None,
        load_hint: None,
        work_hint: None,
    };
    with_resource_hints(request, fields.resource_hints.unwrap_or(""))
}

fn class_index(path: Option<&str>, classes: &[RequestClass]) -> Result<usize, FieldError> {
    let name = path
        .and_then(|path| path.strip_prefix("/do/"))
        .ok_or(FieldError::Path)?;
    classes
        .iter()
        .position(|class| class.name == name)
        .ok_or(FieldError::RequestClass)
}

/// The id, if it has the right number of hexadecimal digits and nothing else.
fn valid_id(text: Option<&str>) -> Option<&str> {
    let well_formed =
        |text: &&str| text.len() == ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    text.filter(well_formed)
}

/// Validates the idempotency key; an empty one counts as missing. Without the key that a request class
/// requires, workers would not recognize a repeated request and would execute it twice.
fn idempotency_key<'a>(key: Option<&'a str>, class: &RequestClass) -> Result<Option<&'a str>, FieldError> {
    let key = key.filter(|text| !text.is_empty());
    let required = class.idempotency == Idempotency::IdempotentWithKey;
    match key {
        None if required => Err(FieldError::IdempotencyKey),
        Some(text) if !is_valid_key(text) => Err(FieldError::IdempotencyKey),
        Some(_) | None => Ok(key),
    }
}

fn is_valid_key(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

fn time_remaining(timeout_ms: Option<&str>, class: &RequestClass) -> Result<Duration, FieldError> {
    let milliseconds = timeout_ms
        .filter(is_decimal)
        .and_then(|text| text.parse::<u64>().ok())
        .ok_or(FieldError::Time)?;
    let remaining = Duration::from_millis(milliseconds);
    let timeout = class.timeout.unwrap_or(Duration::MAX);
    let max_remaining = timeout.saturating_add(TIMEOUT_ROUNDING);
    if remaining.is_zero() || remaining > max_remaining {
        return Err(FieldError::Time);
    }
    Ok(remaining)
}

fn is_decimal(text: &&str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Compares the stated length of the body with the actual one; an empty text counts as missing.
fn check_length(content_length: Option<&str>, body_bytes: usize) -> Result<(), FieldError> {
    let Some(content_length) = content_length.filter(|text| !text.is_empty()) else {
        return Ok(());
    };
    let stated_bytes = Some(content_length)
        .filter(is_decimal)
        .and_then(|text| text.parse::<usize>().ok());
    if stated_bytes == Some(body_bytes) {
        Ok(())
    } else {
        Err(FieldError::Length)
    }
}

fn tenant_index(name: Option<&str>, tenants: &[Tenant]) -> u32 {
    let index = tenants.iter().position(|tenant| Some(&tenant.name[..]) == name);
    index.unwrap_or(tenants.len()) as u32
}

/// Adds the resource hints to a request. Hints with an unknown name are ignored, whatever their value.
fn with_resource_hints<'a>(
    mut request: PlatformRequest<'a>,
    hints: &str,
) -> Result<PlatformRequest<'a>, FieldError> {
    for hint in hints.split(';').filter(|hint| !hint.is_empty()) {
        let (name, value) = hint.split_once(':').ok_or(FieldError::ResourceHints)?;
        match name {
            "memory_mb" => request.memory_mb = Some(decimal(value, f64::MIN_POSITIVE, MAX_MEMORY_MB)?),
            "lanes" => request.concurrency_slots = Some(decimal(value, 1.0, MAX_CONCURRENCY_SLOTS)?),
            "load_ms" => request.load_hint = Some(milliseconds(value)?),
            "hint" => request.work_hint = Some(milliseconds(value)?),
            _ => {}
        }
    }
    Ok(request)
}

fn milliseconds(text: &str) -> Result<Duration, FieldError> {
    decimal(text, 0.0, MAX_HINT_MS).map(|ms| Duration::from_secs_f64(ms / 1e3))
}

/// A number from `min` to `max` that is written with decimal digits and a point only.
fn decimal(text: &str, min: f64, max: f64) -> Result<f64, FieldError> {
    let is_allowed = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if !text.bytes().all(is_allowed) {
        return Err(FieldError::ResourceHints);
    }
    let value: f64 = text.parse().map_err(|_| FieldError::ResourceHints)?;
    if value >= min && value <= max {
        Ok(value)
    } else {
        Err(FieldError::ResourceHints)
    }
}

#[cfg(test)]
mod tests;
