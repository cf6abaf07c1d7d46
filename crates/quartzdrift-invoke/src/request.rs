//! Parser for requests of clients: `POST /2015-03-31/functions/{FunctionName}/invocations` (API reference,
//! Invoke).
use crate::function_name::FunctionName;
use crate::models;
use crate::response::ApiError;
use base64::Engine;
use percent_encoding::percent_decode_str;

#[cfg(test)]
mod tests;

const PATH_PREFIX: &str = "/2015-03-31/functions/";
const PATH_SUFFIX: &str = "/invocations";
/// Maximum size of the decoded client context (API reference).
const MAX_CLIENT_CONTEXT_BYTES: usize = 3583;
/// Maximum size of an idempotency key. The limit bounds what is stored with each request.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// Media types that common clients send by default with a JSON body.
const DEFAULT_MEDIA_TYPES: [&str; 4] = [
    "",
    "application/octet-stream",
    "application/x-www-form-urlencoded",
    "binary/octet-stream",
];

/// Invocation type of a request, from the header `X-Amz-Invocation-Type`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvocationType {
    /// The client waits for the function's response.
    Synchronous,
    /// The client gets a response on acceptance, and the function is executed later.
    Asynchronous,
    /// The request is validated, but the function is not executed.
    DryRun,
}

/// A request to invoke a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvokeRequest {
    /// Name of the function to invoke.
    pub function: FunctionName,
    /// Synchronous or asynchronous invocation, or dry run.
    pub invocation_type: InvocationType,
    /// The client context in base64, which workers get unchanged (header `X-Amz-Client-Context`).
    pub client_context: Option<String>,
    /// The key by which workers detect a repeated request (header `Idempotency-Key`).
    pub idempotency_key: Option<String>,
    /// Time for which the client will still wait for a response (header `X-Quartzdrift-Time-Left-Ms`).
    pub time_left_ms: Option<u64>,
}

/// A request to one of the API's paths.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiRequest {
    /// Invocation of a function.
    Invoke(InvokeRequest),
    /// Health check of the gateway: readiness or liveness.
    ReadinessCheck,
}

/// Parses the method, target and headers of a request. `header` returns the value of a header by its
/// lower-case name.
///
/// # Errors
/// The [`ApiError`] to send to the client if the request is invalid.
pub fn parse<'a>(
    method: &str,
    target: &str,
    header: impl Fn(&str) -> Option<&'a str>,
) -> Result<ApiRequest, ApiError> {
    let (path, query) = split_target(target);
    if models::is_health_check(path) {
        return Ok(ApiRequest::ReadinessCheck);
    }
    let name = path
        .strip_prefix(PATH_PREFIX)
        .and_then(|rest| rest.strip_suffix(PATH_SUFFIX))
        .ok_or(ApiError::UnknownPath)?;
    if method != "POST" {
        return Err(ApiError::WrongMethod);
    }
    let function = function_name(name, query)?;
    let invocation_type = invocation_type(header("x-amz-invocation-type"))?;
    if !is_accepted_media_type(header("content-type")) {
        return Err(ApiError::UnsupportedMediaType);
    }
    Ok(ApiRequest::Invoke(InvokeRequest {
        function,
        invocation_type,
        client_context: client_context(header("x-amz-client-context"))?,
        idempotency_key: idempotency_key(header("idempotency-key"))?,
        time_left_ms: time_left_ms(header("x-quartzdrift-time-left-ms"))?,
    }))
}

/// Path and query of a request target in origin or absolute form.
fn split_target(target: &str) -> (&str, &str) {
    let path = match target.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |path_start| &rest[path_start..]),
        None => target,
    };
    path.split_once('?').unwrap_or((path, ""))
}

fn function_name(name: &str, query: &str) -> Result<FunctionName, ApiError> {
    let name = percent_decode(name).ok_or(ApiError::InvalidParameter("the function name is not UTF-8"))?;
    let qualifier = query
        .split('&')
        .find_map(|parameter| parameter.strip_prefix("Qualifier="))
        .map(|text| percent_decode(text).ok_or(ApiError::InvalidParameter("the qualifier is not UTF-8")))
        .transpose()?;
    FunctionName::parse(&name)
        .and_then(|name| name.with_qualifier(qualifier.as_deref()))
        .map_err(ApiError::InvalidFunctionName)
}

fn percent_decode(text: &str) -> Option<String> {
    let text = percent_decode_str(text).decode_utf8().ok()?;
    Some(text.into_owned())
}

fn invocation_type(value: Option<&str>) -> Result<InvocationType, ApiError> {
    match value {
        None | Some("RequestResponse") => Ok(InvocationType::Synchronous),
        Some("Event") => Ok(InvocationType::Asynchronous),
        Some("DryRun") => Ok(InvocationType::DryRun),
        Some(_) => Err(ApiError::InvalidParameter(
            "X-Amz-Invocation-Type is none of RequestResponse, Event and DryRun",
        )),
    }
}

fn client_context(value: Option<&str>) -> Result<Option<String>, ApiError> {
    let Some(context) = value else {
        return Ok(None);
    };
    let decoded = base64::engine::general_purpose::STANDARD.decode(context);
    match decoded {
        Ok(bytes) if bytes.len() <= MAX_CLIENT_CONTEXT_BYTES && is_json(&bytes) => {
            Ok(Some(context.to_owned()))
        }
        Ok(_) | Err(_) => Err(ApiError::InvalidContent(
            "X-Amz-Client-Context is not base64 of JSON, or too long",
        )),
    }
}

fn idempotency_key(value: Option<&str>) -> Result<Option<String>, ApiError> {
    match value {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            Err(ApiError::InvalidParameter("Idempotency-Key is empty or too long"))
        }
        Some(_) | None => Ok(value.map(str::to_owned)),
    }
}

fn time_left_ms(value: Option<&str>) -> Result<Option<u64>, ApiError> {
    let milliseconds = value.map(str::parse::<u64>).transpose();
    milliseconds
        .map_err(|_| ApiError::InvalidParameter("X-Quartzdrift-Time-Left-Ms is no count of milliseconds"))
}

/// Whether a `Content-Type` is JSON, is missing, or is a default of common clients.
fn is_accepted_media_type(value: Option<&str>) -> bool {
    let Some(value) = value else {
        return true;
    };
    let media_type = value.split(';').next().unwrap_or("").trim().to_ascii_lowercase();
    media_type == "application/json"
        || media_type == "application/x-amz-json-1.0"
        || media_type.starts_with("application/") && media_type.ends_with("+json")
        || DEFAULT_MEDIA_TYPES.contains(&media_type.as_str())
}

/// Whether a payload is JSON or blank. Clients send an empty payload if the function has no input.
pub fn is_json(payload: &[u8]) -> bool {
    payload.trim_ascii().is_empty() || serde_json::from_slice::<serde::de::IgnoredAny>(payload).is_ok()
}

/// The request target that invokes a function, by its [qualified name](FunctionName::qualified_name).
pub fn invoke_target(function: &str) -> String {
    let (name, qualifier) = function.split_once(':').unwrap_or((function, ""));
    match qualifier {
        "" => format!("{PATH_PREFIX}{name}{PATH_SUFFIX}"),
        qualifier => format!("{PATH_PREFIX}{name}{PATH_SUFFIX}?Qualifier={qualifier}"),
    }
}
