//! Reads and checks the fields of a client's request.
//!
//! Use it before anything of a request goes to a worker. Workers close a whole connection, with everything that is open on
//! it, when they cannot read a command, so a field that is not known to be readable is refused here.
use quartzdrift_scheduler::interface::{Idempotency, RequestClass, Settings, Tenant};
use std::time::Duration;

/// Largest resource hints that are accepted: more memory, slots or load time than any machine has.
const MAX_MEMORY_MB: f64 = 1e7;
const MAX_CONCURRENCY_SLOTS: f64 = 1e5;
const MAX_LOAD_MS: f64 = 3.6e6;
/// By how much a client's time may exceed the timeout of its request class, because of rounding on the way.
const TIMEOUT_ROUNDING: Duration = Duration::from_millis(5);
/// Digits of a request id and of a function id.
const ID_DIGITS: usize = 16;
/// Longest accepted idempotency key, in characters; a SHA-256 in hexadecimal digits has 64.
const MAX_IDEMPOTENCY_KEY: usize = 128;

/// The fields as they arrived; `None` where one is missing.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestFields<'a> {
    /// Path under which the program was called, `/do/CLASS` (CGI `SCRIPT_NAME`).
    pub path: Option<&'a str>,
    /// Id that the client chose for the request: 16 hexadecimal digits.
    pub id: Option<&'a str>,
    /// Time until the client gives up, in milliseconds.
    pub timeout_ms: Option<&'a str>,
    /// Id of the function to run: 16 hexadecimal digits.
    pub function: Option<&'a str>,
    /// Key by which workers recognize a repeat of the request.
    pub idempotency_key: Option<&'a str>,
    /// Name of the tenant.
    pub tenant: Option<&'a str>,
    /// What the function needs, `name:number` pairs separated by semicolons.
    pub resource_hints: Option<&'a str>,
    /// Length of the body as the client states it, in bytes.
    pub content_length: Option<&'a str>,
    /// Bytes of the body that arrived.
    pub body_bytes: usize,
}

/// A request whose fields were checked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformRequest<'a> {
    /// Id that the client chose.
    pub id: u64,
    /// Index of the request class in the settings.
    pub request_class: u32,
    /// Index of the tenant in the settings; a tenant that is missing or unknown has the index after the last.
    pub tenant: u32,
    /// Id of the function, as it arrived.
    pub function: &'a str,
    /// To be passed on unchanged; always present where the request class requires a key.
    pub idempotency_key: Option<&'a str>,
    /// Time until the client gives up.
    pub time_remaining: Duration,
    /// Memory of a loaded replica, in megabytes.
    pub memory_mb: Option<f64>,
    /// Requests that a loaded replica runs at a time.
    pub concurrency_slots: Option<f64>,
    /// Time that a load takes.
    pub load_hint: Option<Duration>,
    /// Work of this request.
    pub work_hint: Option<Duration>,
}

/// The first field of a request that was refused.
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
    /// The tenant is given twice or is not text.
    Tenant,
    /// The time is missing, malformed, zero or longer than the class allows.
    Time,
    /// A resource hint is malformed or out of range.
    ResourceHints,
    /// The stated length is not that of the body.
    Length,
}

impl FieldError {
    /// HTTP status of the answer.
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

    /// Body of the answer.
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

/// Checks a request's fields against the settings.
///
/// # Errors
/// The first field that is missing, malformed or out of range.
pub fn read<'a>(fields: &RequestFields<'a>, settings: &Settings) -> Result<PlatformRequest<'a>, FieldError> {
    let request_class = class_index(fields.path, &settings.request_classes)?;
    let class = &settings.request_classes[request_class];
    let id = hex_digits(fields.id)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .ok_or(FieldError::Id)?;
    let function = hex_digits(fields.function).ok_or(FieldError::Function)?;
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

fn hex_digits(text: Option<&str>) -> Option<&str> {
    let well_formed =
        |text: &&str| text.len() == ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    text.filter(well_formed)
}

/// An empty key counts as none. Without a required key workers could not recognize a repeat, and its effect would happen
/// twice.
fn idempotency_key<'a>(key: Option<&'a str>, class: &RequestClass) -> Result<Option<&'a str>, FieldError> {
    let key = key.filter(|text| !text.is_empty());
    let required = class.idempotency == Idempotency::IdempotentWithKey;
    match key {
        None if required => Err(FieldError::IdempotencyKey),
        Some(text) if !is_key(text) => Err(FieldError::IdempotencyKey),
        Some(_) | None => Ok(key),
    }
}

fn is_key(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=MAX_IDEMPOTENCY_KEY).contains(&text.len()) && text.bytes().all(allowed)
}

fn time_remaining(time: Option<&str>, class: &RequestClass) -> Result<Duration, FieldError> {
    let milliseconds = time
        .filter(is_decimal)
        .and_then(|text| text.parse::<u64>().ok())
        .ok_or(FieldError::Time)?;
    let remaining = Duration::from_millis(milliseconds);
    let timeout = class.timeout.unwrap_or(Duration::MAX);
    let longest = timeout.saturating_add(TIMEOUT_ROUNDING);
    if remaining.is_zero() || remaining > longest {
        return Err(FieldError::Time);
    }
    Ok(remaining)
}

fn is_decimal(text: &&str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// An empty length counts as none.
fn check_length(length: Option<&str>, body: usize) -> Result<(), FieldError> {
    let Some(length) = length.filter(|text| !text.is_empty()) else {
        return Ok(());
    };
    let stated = Some(length)
        .filter(is_decimal)
        .and_then(|text| text.parse::<usize>().ok());
    if stated == Some(body) {
        Ok(())
    } else {
        Err(FieldError::Length)
    }
}

fn tenant_index(name: Option<&str>, tenants: &[Tenant]) -> u32 {
    let known = tenants.iter().position(|tenant| Some(&tenant.name[..]) == name);
    known.unwrap_or(tenants.len()) as u32
}

/// A hint that has no use here may have any form behind its name.
fn with_resource_hints<'a>(
    mut request: PlatformRequest<'a>,
    hints: &str,
) -> Result<PlatformRequest<'a>, FieldError> {
    for hint in hints.split(';').filter(|hint| !hint.is_empty()) {
        let (name, value) = hint.split_once(':').ok_or(FieldError::ResourceHints)?;
        match name {
            "memory_mb" => request.memory_mb = Some(number(value, f64::MIN_POSITIVE, MAX_MEMORY_MB)?),
            "lanes" => request.concurrency_slots = Some(number(value, 1.0, MAX_CONCURRENCY_SLOTS)?),
            "load_ms" => request.load_hint = Some(milliseconds(value)?),
            "hint" => request.work_hint = Some(milliseconds(value)?),
            _ => {}
        }
    }
    Ok(request)
}

fn milliseconds(text: &str) -> Result<Duration, FieldError> {
    number(text, 0.0, MAX_LOAD_MS).map(|ms| Duration::from_secs_f64(ms / 1e3))
}

/// A number in plain decimal digits, within both bounds.
fn number(text: &str, min: f64, max: f64) -> Result<f64, FieldError> {
    let plain = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if !text.bytes().all(plain) {
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
