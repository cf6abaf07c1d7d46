//! Final answers and errors in the Invoke API's form.
//!
//! | final answer | status | why |
//! | --- | --- | --- |
//! | finished | 200 (the worker's own), with `X-Amz-Function-Error` where the function failed | the request ran |
//! | rejected | 429 `TooManyRequestsException` with `Retry-After` | client libraries repeat it, and that is harmless |
//! | killed | 200 with `X-Amz-Function-Error: Unhandled` | it promises nothing: no status that libraries repeat |
//! | taken, deferred | 202 | |
//!
//! Libraries repeat 429 and all of 5xx by themselves, also 408; a killed request may have run, so none of these.
use serde::Serialize;
use std::time::Duration;

/// A status, fields and a body, to be put on a connection by whoever has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    pub status: u16,
    pub fields: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

/// Why a call is no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    NoSuchPath,
    WrongMethod,
    BadParameter(&'static str),
    BadContent(&'static str),
    NoSuchFunction,
    TooLarge,
    MediaType,
    HeadTooLarge,
    Malformed,
    Coding,
    TooSlow,
    /// Nothing can be taken now: trying again is harmless, since nothing ran.
    Busy(Option<Duration>),
    /// Whether an asynchronous request was kept is not known: the disk failed meanwhile.
    Unsure,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    #[serde(rename = "Type")]
    kind: &'a str,
    message: &'a str,
    #[serde(rename = "Reason", skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct FunctionError<'a> {
    error_type: &'a str,
    error_message: &'a str,
}

fn json(body: &impl Serialize) -> Vec<u8> {
    // These types have no map and no number that JSON cannot hold.
    serde_json::to_vec(body).unwrap_or_default()
}

fn error(status: u16, kind: &str, message: &str, reason: Option<&str>) -> Said {
    let by = if status >= 500 { "Service" } else { "User" };
    Said {
        status,
        fields: vec![
            ("content-type", "application/json".to_owned()),
            ("x-amzn-errortype", kind.to_owned()),
        ],
        body: json(&ErrorBody {
            kind: by,
            message,
            reason,
        }),
    }
}

impl Problem {
    pub fn said(self) -> Said {
        match self {
            Problem::NoSuchPath => error(
                404,
                "ResourceNotFoundException",
                "there is nothing at this path",
                None,
            ),
            Problem::WrongMethod => error(
                405,
                "InvalidRequestContentException",
                "the method is not POST",
                None,
            ),
            Problem::BadParameter(what) => error(400, "InvalidParameterValueException", what, None),
            Problem::BadContent(what) => error(400, "InvalidRequestContentException", what, None),
            Problem::NoSuchFunction => error(
                404,
                "ResourceNotFoundException",
                "the function is in no workload's settings",
                None,
            ),
            Problem::TooLarge => error(
                413,
                "RequestTooLargeException",
                "the payload is over the limit",
                None,
            ),
            Problem::MediaType => error(
                415,
                "UnsupportedMediaTypeException",
                "the content type is not JSON",
                None,
            ),
            Problem::HeadTooLarge => error(
                431,
                "InvalidRequestContentException",
                "the fields are over the limit",
                None,
            ),
            Problem::Malformed => error(
                400,
                "InvalidRequestContentException",
                "this is no HTTP/1.1 request",
                None,
            ),
            Problem::Coding => error(
                501,
                "InvalidRequestContentException",
                "the transfer coding is unknown here",
                None,
            ),
            Problem::TooSlow => error(
                400,
                "InvalidRequestContentException",
                "the request was not whole in time",
                None,
            ),
            Problem::Busy(retry_after) => rejected(retry_after),
            Problem::Unsure => error(
                500,
                "ServiceException",
                "it is not known whether the job was kept",
                None,
            ),
        }
    }
}

/// Whole seconds for `Retry-After`, never sooner than told.
fn whole_seconds(retry_after: Option<Duration>) -> u64 {
    let told = retry_after.unwrap_or_default();
    (told.as_secs() + u64::from(told.subsec_nanos() > 0)).max(1)
}

pub fn rejected(retry_after: Option<Duration>) -> Said {
    let mut said = error(
        429,
        "TooManyRequestsException",
        "no worker can take this job now; trying again is harmless",
        Some("ConcurrentInvocationLimitExceeded"),
    );
    said.fields
        .push(("retry-after", whole_seconds(retry_after).to_string()));
    if let Some(told) = retry_after {
        // Whole seconds are coarse beside attempts of some milliseconds; our own clients read this one.
        let ms = told.as_millis() + u128::from(told.subsec_nanos() % 1_000_000 > 0);
        said.fields.push(("x-quartzdrift-come-back-ms", ms.to_string()));
    }
    said
}

/// What a kill tells of its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The time limit came before an answer.
    DeadlineExceeded,
    /// An attempt ended without an answer and may have run.
    OutcomeUnknown,
    /// The gateway stops and cannot wait for the answer.
    ShuttingDown,
}

pub fn failed(why: FailureKind) -> Said {
    let (error_type, error_message) = match why {
        FailureKind::DeadlineExceeded => (
            "Quartzdrift.TimeLimit",
            "the time limit came before an answer; the job may have run",
        ),
        FailureKind::OutcomeUnknown => (
            "Quartzdrift.Killed",
            "the worker was lost before it answered; the job may have run",
        ),
        FailureKind::ShuttingDown => (
            "Quartzdrift.Stopped",
            "the gateway stopped before an answer; the job may have run",
        ),
    };
    Said {
        status: 200,
        fields: vec![
            ("content-type", "application/json".to_owned()),
            ("x-amz-function-error", "Unhandled".to_owned()),
        ],
        body: json(&FunctionError {
            error_type,
            error_message,
        }),
    }
}

pub fn taken() -> Said {
    Said {
        status: 202,
        fields: Vec::new(),
        body: Vec::new(),
    }
}

pub fn dry_run() -> Said {
    Said {
        status: 204,
        fields: Vec::new(),
        body: Vec::new(),
    }
}

pub fn ready(ready: bool) -> Said {
    let status = if ready { 200 } else { 503 };
    Said {
        status,
        fields: Vec::new(),
        body: Vec::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_time_to_come_back_is_never_cut() {
        for (told, seconds) in [(0, 1), (1, 1), (1000, 1), (1001, 2), (61_000, 61)] {
            assert_eq!(
                whole_seconds(Some(Duration::from_millis(told))),
                seconds,
                "{told} ms"
            );
        }
        let said = rejected(Some(Duration::from_micros(1500)));
        assert!(
            said.fields
                .contains(&("x-quartzdrift-come-back-ms", "2".to_owned()))
        );
    }

    #[test]
    fn a_kill_has_no_status_that_libraries_repeat() {
        for why in [
            FailureKind::DeadlineExceeded,
            FailureKind::OutcomeUnknown,
            FailureKind::ShuttingDown,
        ] {
            let said = failed(why);
            assert_eq!(said.status, 200);
            assert!(
                said.fields
                    .iter()
                    .any(|(name, _)| *name == "x-amz-function-error")
            );
        }
    }

    #[test]
    fn errors_carry_type_and_message() {
        let said = Problem::TooLarge.said();
        let body: serde_json::Value = serde_json::from_slice(&said.body).unwrap();
        assert_eq!((said.status, body["Type"].as_str()), (413, Some("User")));
        assert!(body["message"].is_string());
    }
}
