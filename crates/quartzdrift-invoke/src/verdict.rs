//! What the end of an attempt proves: the one table from what was seen on a worker's socket to the decision
//! module's outcomes. Doubt counts as may have run.
//!
//! | seen | outcome | proves that it never ran |
//! | --- | --- | --- |
//! | 200, with or without `X-Amz-Function-Error` | finished | no: it ran |
//! | 429 `TooManyRequestsException` | full | yes |
//! | 429 without that type | full | yes: the status says that the call was not let in |
//! | 404 `ResourceNotFoundException` | miss | yes |
//! | 503 `ServiceUnavailable` with `Retry-After` and type `NotTaken` | full | yes |
//! | any other status | error | no |
//! | an answer that cannot be read or is over the limit | error | no |
//! | connection refused, unreachable, not there in time | connection failed | yes |
//! | all connections that we allow ourselves in use | full | yes |
//! | connection closed or reset after bytes left | reset | no |
//! | connection found closed before a byte left | sent again on another one | yes |
//! | time-out, cancelled | timed out, cancelled | no |
use crate::orca::Report;
use quartzdrift_scheduler::interface::{CacheResult, Outcome};

/// How a call to a worker ended on its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen<'a> {
    Answered {
        status: u16,
        error_type: Option<&'a str>,
    },
    Unreadable,
    NotConnected,
    NoConnectionLeft,
    Closed,
}

pub fn outcome(seen: Seen) -> Outcome {
    // A type may carry a namespace or a link behind a colon.
    let plain = |told: Option<&str>| {
        told.and_then(|t| t.split(':').next())
            .unwrap_or("")
            .trim()
            .to_owned()
    };
    match seen {
        Seen::Answered { status: 200, .. } => Outcome::Succeeded,
        Seen::Answered { status: 429, .. } => Outcome::AtCapacity,
        Seen::Answered {
            status: 404,
            error_type,
        } if plain(error_type) == "ResourceNotFoundException" => Outcome::CacheMiss,
        Seen::Answered {
            status: 503,
            error_type,
        } if plain(error_type) == "NotTaken" => Outcome::AtCapacity,
        Seen::Answered { .. } | Seen::Unreadable => Outcome::Error,
        Seen::NotConnected => Outcome::ConnectFailed,
        Seen::NoConnectionLeft => Outcome::AtCapacity,
        Seen::Closed => Outcome::Reset,
    }
}

/// Names under which workers tell of the copy and of the function's requests that they held.
pub const CACHE_RESULT: &str = "named_metrics.found";
pub const CONCURRENCY: &str = "named_metrics.crowd";

/// What a report says of the copy: 1 it stood, 2 this request began the load, 3 it awaited one, 4 the load failed.
pub fn cache_result(report: &Report) -> CacheResult {
    match report.get(CACHE_RESULT).map(|told| told as i64) {
        Some(1) => CacheResult::Warm,
        Some(2) => CacheResult::StartedLoad,
        Some(3) => CacheResult::AwaitedLoad,
        Some(4) => CacheResult::LoadFailed,
        Some(_) | None => CacheResult::Unknown,
    }
}

pub fn concurrency(report: &Report) -> Option<u32> {
    report
        .get(CONCURRENCY)
        .filter(|told| *told >= 0.0)
        .map(|told| told as u32)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_proof_counts_as_never_ran() {
        let answered = |status, error_type| outcome(Seen::Answered { status, error_type });
        assert_eq!(answered(200, None), Outcome::Succeeded);
        assert_eq!(answered(429, None), Outcome::AtCapacity);
        assert_eq!(
            answered(404, Some("ResourceNotFoundException:x")),
            Outcome::CacheMiss
        );
        for (status, kind) in [
            (404, None),
            (503, None),
            (500, Some("ServiceException")),
            (301, None),
            (204, None),
        ] {
            assert_eq!(answered(status, kind), Outcome::Error, "{status}");
        }
        assert_eq!(outcome(Seen::Closed), Outcome::Reset);
        assert_eq!(outcome(Seen::NotConnected), Outcome::ConnectFailed);
    }
}
