//! A line of the simulator's protocol: a name and `key=value` fields, separated by tabs.
use crate::error::InvalidField;
use quartzdrift_scheduler::interface::{CacheResult, Endpoint, EndpointState, Outcome};
use std::str::FromStr;
use std::time::Duration;

/// The name and the fields of a line. The fields may be in any order.
pub(crate) struct Line<'a> {
    pub(crate) name: &'a str,
    fields: &'a str,
}

/// Report of a response on the function's cached copy.
pub(crate) struct CacheReport {
    pub(crate) cache_result: CacheResult,
    /// Number of the function's requests that the worker held.
    pub(crate) concurrency: u32,
}

impl<'a> Line<'a> {
    pub(crate) fn parse(text: &'a str) -> Line<'a> {
        let (name, fields) = text.split_once('\t').unwrap_or((text, ""));
        Line { name, fields }
    }

    /// Returns the value of a field; `None`: the line has no field with this key.
    pub(crate) fn text(&self, key: &str) -> Option<&'a str> {
        let mut fields = self.fields.split('\t');
        fields.find_map(|field| field.strip_prefix(key)?.strip_prefix('='))
    }

    /// Returns a value that extends to the end of the line and may contain tabs.
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

    /// Returns a finite number.
    pub(crate) fn number(&self, key: &str) -> Option<f64> {
        self.text(key).and_then(parse_finite)
    }

    /// Parses a number of nanoseconds, which may have decimals. A negative number yields zero.
    pub(crate) fn duration(&self, key: &str) -> Option<Duration> {
        let value = self.text(key)?;
        let integer = value.parse::<i64>().ok();
        let nanoseconds = integer.or_else(|| value.parse::<f64>().ok().map(|number| number as i64))?;
        Some(Duration::from_nanos(nanoseconds.max(0) as u64))
    }

    /// Whether the field has the value `1`.
    pub(crate) fn flag(&self, key: &str) -> bool {
        self.text(key) == Some("1")
    }

    pub(crate) fn required_text(&self, key: &'static str) -> Result<&'a str, InvalidField> {
        self.text(key).ok_or(InvalidField(key))
    }

    pub(crate) fn required_integer<T: FromStr>(&self, key: &'static str) -> Result<T, InvalidField> {
        self.integer(key).ok_or(InvalidField(key))
    }

    /// Returns the outcome of an attempt, a health check or a load command.
    pub(crate) fn outcome(&self) -> Result<Outcome, InvalidField> {
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
            _ => Err(InvalidField(key)),
        }
    }

    /// Returns a worker's load report, empty if there is none. A value that is not a finite number is `None`.
    pub(crate) fn load_report(&self) -> Vec<Option<f64>> {
        let values = self.text("health-info");
        values.map_or_else(Vec::new, |values| values.split(',').map(parse_finite).collect())
    }

    /// Returns the cache report of a response. The low three bits of its field are the cache result, the
    /// others are the concurrency.
    pub(crate) fn cache_report(&self) -> CacheReport {
        let bits: u32 = self.integer("remark").unwrap_or(0);
        let cache_result = match bits % 8 {
            1 => CacheResult::Warm,
            2 => CacheResult::StartedLoad,
            3 => CacheResult::AwaitedLoad,
            4 => CacheResult::LoadFailed,
            _ => CacheResult::Unknown,
        };
        CacheReport {
            cache_result,
            concurrency: bits / 8,
        }
    }

    /// Returns the worker's entry in the endpoint list; `None`: the line does not name a worker.
    pub(crate) fn endpoint(&self) -> Option<Endpoint<'a>> {
        Some(Endpoint {
            worker: self.text("worker")?,
            capacity_hint: self.number("capacity-hint"),
            address: None,
            cell: self.integer("cell").unwrap_or(0),
            machine_kind: self.integer("generation-hw").unwrap_or(0),
            zone: self.integer("az").unwrap_or(0),
            started_at: self.duration("came-up-ns").filter(|at| !at.is_zero()),
            // A worker in an unknown state must not receive requests.
            state: match self.text("health") {
                Some("up") => EndpointState::Up,
                Some("draining") => EndpointState::Draining,
                _ => EndpointState::Gone,
            },
        })
    }
}

fn parse_finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}
