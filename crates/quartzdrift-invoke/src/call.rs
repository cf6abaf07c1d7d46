//! A client's call: `POST /2015-03-31/functions/{FunctionName}/invocations` (API reference, Invoke).
use crate::answer::Problem;
use crate::name::FunctionName;
use base64::Engine;
use percent_encoding::percent_decode_str;

const PREFIX: &str = "/2015-03-31/functions/";
const SUFFIX: &str = "/invocations";
/// Bytes of the decoded client context at most (API reference).
const MAX_CONTEXT: usize = 3583;
/// Bytes of the mark against repeats at most: it is kept with the request.
const MAX_MARK: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The answer comes on this call.
    Synchronous,
    /// Taken now, run later.
    Asynchronous,
    /// Checked only.
    DryRun,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub function: FunctionName,
    pub mode: Mode,
    /// As it came, in base64; workers get it unchanged.
    pub context: Option<String>,
    /// A mark by which workers know a repeat (the `Idempotency-Key` field).
    pub mark: Option<String>,
    /// What the client says is left of its time, in milliseconds.
    pub left_ms: Option<u64>,
}

/// What is asked for, of the paths that we know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    Invoke(Call),
    Ready,
}

/// Path and query of a target, which may be in absolute form.
fn split(target: &str) -> (&str, &str) {
    let path = match target.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    };
    path.split_once('?').unwrap_or((path, ""))
}

fn decoded(text: &str) -> Option<String> {
    percent_decode_str(text)
        .decode_utf8()
        .ok()
        .map(|t| t.into_owned())
}

/// Reads a request's line and fields; `get` looks a field up by its name in lower case.
pub fn read<'a>(method: &str, target: &str, get: impl Fn(&str) -> Option<&'a str>) -> Result<Asked, Problem> {
    let (path, query) = split(target);
    if path == "/v2/health/ready" || path == "/v2/health/live" {
        return Ok(Asked::Ready);
    }
    let name = path
        .strip_prefix(PREFIX)
        .and_then(|rest| rest.strip_suffix(SUFFIX));
    let Some(name) = name else {
        return Err(Problem::NoSuchPath);
    };
    if method != "POST" {
        return Err(Problem::WrongMethod);
    }
    let name = decoded(name).ok_or(Problem::BadParameter("the function name is not UTF-8"))?;
    let told = query.split('&').find_map(|part| part.strip_prefix("Qualifier="));
    let told = match told.map(decoded) {
        Some(None) => return Err(Problem::BadParameter("the qualifier is not UTF-8")),
        told => told.flatten(),
    };
    let function = FunctionName::parse(&name)
        .and_then(|name| name.qualified(told.as_deref()))
        .map_err(Problem::BadParameter)?;
    let mode = match get("x-amz-invocation-type") {
        None | Some("RequestResponse") => Mode::Synchronous,
        Some("Event") => Mode::Asynchronous,
        Some("DryRun") => Mode::DryRun,
        Some(_) => {
            return Err(Problem::BadParameter(
                "X-Amz-Invocation-Type is none of RequestResponse, Event and DryRun",
            ));
        }
    };
    if !media_type_fits(get("content-type")) {
        return Err(Problem::MediaType);
    }
    let context = get("x-amz-client-context").map(str::to_owned);
    if let Some(context) = &context {
        let bytes = base64::engine::general_purpose::STANDARD.decode(context);
        if bytes.is_ok_and(|b| b.len() <= MAX_CONTEXT && is_json(&b)) {
        } else {
            return Err(Problem::BadContent(
                "X-Amz-Client-Context is not base64 of JSON, or too long",
            ));
        }
    }
    let mark = get("idempotency-key").map(str::to_owned);
    if mark.as_ref().is_some_and(|m| m.is_empty() || m.len() > MAX_MARK) {
        return Err(Problem::BadParameter("Idempotency-Key is empty or too long"));
    }
    let left_ms = match get("x-quartzdrift-time-left-ms").map(str::parse::<u64>) {
        Some(Err(_)) => {
            return Err(Problem::BadParameter(
                "X-Quartzdrift-Time-Left-Ms is no count of milliseconds",
            ));
        }
        left => left.and_then(Result::ok),
    };
    Ok(Asked::Invoke(Call {
        function,
        mode,
        context,
        mark,
        left_ms,
    }))
}

/// JSON is what the API takes; what common clients send unasked for a JSON body is let through as well.
fn media_type_fits(told: Option<&str>) -> bool {
    let Some(told) = told else { return true };
    let kind = told.split(';').next().unwrap_or("").trim().to_ascii_lowercase();
    let unasked = [
        "",
        "application/octet-stream",
        "application/x-www-form-urlencoded",
        "binary/octet-stream",
    ];
    kind == "application/json"
        || kind == "application/x-amz-json-1.0"
        || kind.starts_with("application/") && kind.ends_with("+json")
        || unasked.contains(&kind.as_str())
}

/// Whether a payload is JSON, or empty, which clients send for "no input".
pub fn is_json(payload: &[u8]) -> bool {
    payload.trim_ascii().is_empty() || serde_json::from_slice::<serde::de::IgnoredAny>(payload).is_ok()
}

/// The target of a call, for a function as [`FunctionName::loaded`] tells it.
pub fn target(function: &str) -> String {
    let (name, qualifier) = function.split_once(':').unwrap_or((function, ""));
    match qualifier {
        "" => format!("{PREFIX}{name}{SUFFIX}"),
        qualifier => format!("{PREFIX}{name}{SUFFIX}?Qualifier={qualifier}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(target: &str, fields: &[(&str, &'static str)]) -> Result<Asked, Problem> {
        read("POST", target, |name| {
            fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
        })
    }

    #[test]
    fn calls_are_read() {
        let target = "/2015-03-31/functions/quote%3Av1/invocations?x=1&Qualifier=v1";
        let Ok(Asked::Invoke(call)) = ask(target, &[("x-amz-invocation-type", "Event")]) else {
            panic!()
        };
        assert_eq!(
            (call.function.loaded().as_str(), call.mode),
            ("quote:v1", Mode::Asynchronous)
        );
        let again = super::target(&call.function.loaded());
        let Ok(Asked::Invoke(second)) = ask(&again, &[]) else {
            panic!()
        };
        assert_eq!(second.function.loaded(), "quote:v1");
    }

    #[test]
    fn others_get_the_published_errors() {
        let path = "/2015-03-31/functions/quote/invocations";
        assert!(matches!(ask("/elsewhere", &[]), Err(Problem::NoSuchPath)));
        assert!(matches!(
            ask(path, &[("content-type", "text/html")]),
            Err(Problem::MediaType)
        ));
        assert!(matches!(
            ask(path, &[("x-amz-invocation-type", "x")]),
            Err(Problem::BadParameter(_))
        ));
        assert!(matches!(
            ask(path, &[("x-amz-client-context", "&")]),
            Err(Problem::BadContent(_))
        ));
        assert!(matches!(read("GET", path, |_| None), Err(Problem::WrongMethod)));
        assert!(is_json(b" {\"a\": [1]} ") && is_json(b"") && !is_json(b"{") && !is_json(b"1 2"));
    }

    proptest::proptest! {
        #[test]
        fn any_target_is_read_or_refused(target: String) {
            let _ = ask(&target, &[]);
        }
    }
}
