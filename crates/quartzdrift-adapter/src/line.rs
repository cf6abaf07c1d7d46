//! A line of the wire: a name and `name=value` fields, separated by tabs.
use crate::error::UnreadableField;
use quartzdrift_scheduler::interface::{CacheResult, Endpoint, EndpointState, Outcome};
use std::str::FromStr;
use std::time::Duration;

/// A line's name and its fields, in whatever order they came.
pub(crate) struct Line<'a> {
    pub(crate) name: &'a str,
    fields: &'a str,
}

/// What an answer tells of the function's copy.
pub(crate) struct Remark {
    pub(crate) cache_result: CacheResult,
    /// Requests of the function that the worker held.
    pub(crate) concurrency: u32,
}

impl<'a> Line<'a> {
    pub(crate) fn read(text: &'a str) -> Line<'a> {
        let (name, fields) = text.split_once('\t').unwrap_or((text, ""));
        Line { name, fields }
    }

    pub(crate) fn text(&self, key: &str) -> Option<&'a str> {
        let mut fields = self.fields.split('\t');
        fields.find_map(|field| field.strip_prefix(key)?.strip_prefix('='))
    }

    /// A value that runs to the end of the line.
    pub(crate) fn text_to_end(&self, key: &str) -> Option<&'a str> {
        let mut rest = self.fields;
        loop {
            let value = rest.strip_prefix(key).and_then(|rest| rest.strip_prefix('='));
            if value.is_some() {
                return value;
            }
            rest = rest.split_once('\t')?.1;
        }
    }

    pub(crate) fn integer<T: FromStr>(&self, key: &str) -> Option<T> {
        self.text(key)?.parse().ok()
    }

    pub(crate) fn number(&self, key: &str) -> Option<f64> {
        self.text(key).and_then(finite)
    }

    /// A span in nanoseconds, whole or not; one below zero is zero.
    pub(crate) fn duration(&self, key: &str) -> Option<Duration> {
        let value = self.text(key)?;
        let whole = value.parse::<i64>().ok();
        let nanoseconds = whole.or_else(|| value.parse::<f64>().ok().map(|number| number as i64))?;
        Some(Duration::from_nanos(nanoseconds.max(0) as u64))
    }

    pub(crate) fn flag(&self, key: &str) -> bool {
        self.text(key) == Some("1")
    }

    pub(crate) fn required_text(&self, key: &'static str) -> Result<&'a str, UnreadableField> {
        self.text(key).ok_or(UnreadableField(key))
    }

    pub(crate) fn required_integer<T: FromStr>(&self, key: &'static str) -> Result<T, UnreadableField> {
        self.integer(key).ok_or(UnreadableField(key))
    }

    pub(crate) fn outcome(&self) -> Result<Outcome, UnreadableField> {
        let key = "disposition";
        match self.required_text(key)? {
            "completed" => Ok(Outcome::Succeeded),
            "errored" => Ok(Outcome::Error),
            "saturated" => Ok(Outcome::AtCapacity),
            "overdue" => Ok(Outcome::TimedOut),
            "refused_conn" => Ok(Outcome::ConnectFailed),
            "severed" => Ok(Outcome::Reset),
            "recalled" => Ok(Outcome::Cancelled),
            "superseded" => Ok(Outcome::NeverSent),
            "lookup_miss" => Ok(Outcome::CacheMiss),
            _ => Err(UnreadableField(key)),
        }
    }

    /// A worker's load report; a value that cannot be read is `None`.
    pub(crate) fn report(&self) -> Vec<Option<f64>> {
        let row = self.text("health-info");
        row.map_or_else(Vec::new, |row| row.split(',').map(finite).collect())
    }

    /// The low three bits are the cache result, the others the concurrency.
    pub(crate) fn remark(&self) -> Remark {
        let bits: u32 = self.integer("remark").unwrap_or(0);
        let cache_result = match bits % 8 {
            1 => CacheResult::Warm,
            2 => CacheResult::StartedLoad,
            3 => CacheResult::AwaitedLoad,
            4 => CacheResult::LoadFailed,
            _ => CacheResult::Unknown,
        };
        Remark {
            cache_result,
            concurrency: bits / 8,
        }
    }

    /// A worker's entry in the endpoint list.
    pub(crate) fn endpoint(&self) -> Option<Endpoint<'a>> {
        Some(Endpoint {
            worker: self.text("worker")?,
            capacity_hint: self.number("capacity-hint"),
            cell: self.integer("cell").unwrap_or(0),
            machine_kind: self.integer("generation-hw").unwrap_or(0),
            zone: self.integer("az").unwrap_or(0),
            started_at: self.duration("came-up-ns").filter(|at| !at.is_zero()),
            // A worker in an unknown state gets no requests.
            state: match self.text("health") {
                Some("up") => EndpointState::Up,
                Some("draining") => EndpointState::Draining,
                _ => EndpointState::Gone,
            },
        })
    }
}

fn finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}
