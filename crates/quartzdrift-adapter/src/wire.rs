//! Lines of the wire: reading fields by name, writing actions.
use quartzdrift_scheduler::interface::*;
use std::fmt::Write;
use std::time::Duration;

/// A line's name and its `name=value` parts, in whatever order they came.
pub struct Line<'a> {
    pub name: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    pub fn read(text: &'a str) -> Line<'a> {
        let (name, rest) = text.split_once('\t').unwrap_or((text, ""));
        Line { name, rest }
    }

    pub fn text(&self, key: &str) -> Option<&'a str> {
        self.rest
            .split('\t')
            .find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
    }

    /// A value that runs to the end of the line.
    pub fn to_end(&self, key: &str) -> Option<&'a str> {
        let mut rest = self.rest;
        loop {
            if let Some(value) = rest.strip_prefix(key).and_then(|r| r.strip_prefix('=')) {
                return Some(value);
            }
            rest = rest.split_once('\t')?.1;
        }
    }

    pub fn count<T: std::str::FromStr>(&self, key: &str) -> Option<T> {
        self.text(key)?.parse().ok()
    }

    pub fn number(&self, key: &str) -> Option<f64> {
        self.count::<f64>(key).filter(|n| n.is_finite())
    }

    pub fn span(&self, key: &str) -> Option<Duration> {
        let value = self.text(key)?;
        let nanos = value
            .parse::<i64>()
            .ok()
            .or_else(|| value.parse::<f64>().ok().map(|n| n as i64));
        nanos.map(|n| Duration::from_nanos(n.max(0) as u64))
    }

    pub fn flag(&self, key: &str) -> bool {
        self.text(key) == Some("1")
    }

    pub fn outcome(&self) -> Option<Outcome> {
        Some(match self.text("disposition")? {
            "completed" => Outcome::Succeeded,
            "errored" => Outcome::Error,
            "saturated" => Outcome::AtCapacity,
            "overdue" => Outcome::TimedOut,
            "refused_conn" => Outcome::ConnectFailed,
            "severed" => Outcome::Reset,
            "recalled" => Outcome::Cancelled,
            "superseded" => Outcome::NeverSent,
            "lookup_miss" => Outcome::CacheMiss,
            _ => return None,
        })
    }

    pub fn report(&self) -> Vec<Option<f64>> {
        let Some(row) = self.text("health-info") else {
            return Vec::new();
        };
        let value = |v: &str| v.parse::<f64>().ok().filter(|n| n.is_finite());
        row.split(',').map(value).collect()
    }

    /// Remark: the low three bits tell of the copy, the rest how many requests of the function were held.
    pub fn cache_result(&self) -> (CacheResult, u32) {
        let remark: u32 = self.count("remark").unwrap_or(0);
        let cache_result = match remark % 8 {
            1 => CacheResult::Warm,
            2 => CacheResult::StartedLoad,
            3 => CacheResult::AwaitedLoad,
            4 => CacheResult::LoadFailed,
            _ => CacheResult::Unknown,
        };
        (cache_result, remark / 8)
    }

    pub fn entry(&self) -> Option<Endpoint<'a>> {
        Some(Endpoint {
            worker: self.text("worker")?,
            capacity_hint: self.number("capacity-hint"),
            cell: self.count("cell").unwrap_or(0),
            kind: self.count("generation-hw").unwrap_or(0),
            zone: self.count("az").unwrap_or(0),
            started: self.span("came-up-ns").filter(|at| !at.is_zero()),
            // What is not said to be up gets nothing.
            state: match self.text("health") {
                Some("up") => EndpointState::Up,
                Some("draining") => EndpointState::Draining,
                _ => EndpointState::Gone,
            },
        })
    }
}

pub fn bytes_of(hex: &str) -> Option<Vec<u8>> {
    if hex == "-" {
        return Some(Vec::new());
    }
    let digit = |c: u8| (c as char).to_digit(16).map(|d| d as u8);
    let pairs = hex.as_bytes().chunks(2);
    pairs
        .map(|pair| Some(digit(pair[0])? << 4 | digit(*pair.get(1)?)?))
        .collect()
}

fn hex_of(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_owned();
    }
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

pub fn write(out: &mut String, i: u64, action: &Action) -> std::fmt::Result {
    match action {
        Action::StartAttempt {
            request,
            worker,
            timeout,
        } => {
            write!(out, "pass_on\ti={i}\ttid={request}\tworker={worker}")?;
            if let Some(limit) = timeout {
                write!(out, "\tmax-wait-ns={}", limit.as_nanos())?;
            }
        }
        Action::Reject { request, retry_after } => {
            write!(out, "push_back\ti={i}\ttid={request}")?;
            if let Some(span) = retry_after {
                write!(out, "\tcool-down-ns={}", span.as_nanos())?;
            }
        }
        Action::Fail { request } => write!(out, "drop_request\ti={i}\ttid={request}")?,
        Action::CancelAttempt { request, attempt } => {
            write!(out, "abort_attempt\ti={i}\ttid={request}\tseq-no={attempt}")?
        }
        Action::SetTimer { delay, name } => write!(
            out,
            "notify_me\ti={i}\tdelay-ns={}\tmark={name}",
            delay.as_nanos()
        )?,
        Action::CheckHealth { worker } => write!(out, "ping\ti={i}\tworker={worker}")?,
        Action::CloseIdle { worker } => write!(out, "shut_idle\ti={i}\tworker={worker}")?,
        Action::SendToPeer { to, bytes } => {
            let to = to.map_or("all".to_owned(), |n| n.to_string());
            write!(out, "share\ti={i}\tdst={to}\tbody={}", hex_of(bytes))?
        }
        Action::Load {
            worker,
            function,
            copies,
        } => write!(
            out,
            "load\ti={i}\tworker={worker}\timage={function}\tn-inst={copies}"
        )?,
        Action::Unload { worker, function } => {
            write!(out, "unload\ti={i}\tworker={worker}\timage={function}")?
        }
        Action::Watch { on } => write!(out, "watch\ti={i}\tactive={}", u8::from(*on))?,
        Action::PollEndpoints => write!(out, "snapshot\ti={i}")?,
        Action::Log { text } => write!(
            out,
            "trace\ti={i}\ttext={}",
            text.replace(['\n', '\r', '\t'], " ")
        )?,
    }
    out.push('\n');
    Ok(())
}
