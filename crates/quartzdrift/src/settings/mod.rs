//! Settings: read from TOML, checked whole before anything starts. An error tells file, line and the mend.
mod check;
pub use check::destination;
pub mod raw;

use quartzdrift_async_queue::{Destination, QueueSettings};
use quartzdrift_discovery::{DiscoveredEndpoint, KnownNames};
use quartzdrift_http::Limits;
use quartzdrift_scheduler::interface::Settings as Choice;
use quartzdrift_schedules::Schedule;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// One thing that is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    /// Counted from 1; 0 where it is the file as a whole.
    pub line: usize,
    pub what: String,
    pub mend: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.what)?,
            line => write!(f, "{}:{line}: {}", self.file, self.what)?,
        }
        if !self.mend.is_empty() {
            write!(f, "\n    mend: {}", self.mend)?;
        }
        Ok(())
    }
}

/// A function as the settings know it.
#[derive(Clone, Debug, Default)]
pub struct Function {
    pub request_class: u32,
    pub memory_mb: Option<f64>,
    pub concurrency_slots: Option<f64>,
    pub load: Option<Duration>,
    pub work: Option<Duration>,
    pub writes: bool,
    pub on_success: Option<Destination>,
    pub on_failure: Option<Destination>,
}

#[derive(Clone, Debug)]
pub struct Discovery {
    pub address: SocketAddr,
    pub target: String,
    pub stream: bool,
    pub every: Duration,
    pub timeout: Duration,
}

#[derive(Clone, Debug)]
pub struct Log {
    pub json: bool,
    pub filter: String,
}

/// What the gateway runs by.
#[derive(Clone, Debug)]
pub struct Settings {
    pub listen: Vec<SocketAddr>,
    pub state: Option<PathBuf>,
    pub seed: Option<u64>,
    pub drain: Duration,
    pub require_json: bool,
    pub tenant_field: Option<String>,
    pub tenants: HashMap<String, u32>,
    pub functions: HashMap<String, Rc<Function>>,
    pub default_function: Option<Rc<Function>>,
    pub limits: Limits,
    pub log: Log,
    pub scheduler: Choice,
    /// Names of the metrics that tell the module's report fields, in their order.
    pub metrics: Vec<String>,
    pub connect_timeout: Duration,
    pub workers: Vec<DiscoveredEndpoint>,
    pub known: KnownNames,
    pub discovery: Option<Discovery>,
    pub asynchronous: QueueSettings,
    /// Where asynchronous requests are kept; none: in memory only.
    pub store: Option<PathBuf>,
    /// Whether an asynchronous request is answered as taken before it lasts.
    pub answer_early: bool,
    pub on_success: Option<Destination>,
    pub on_failure: Option<Destination>,
    pub timers: Vec<(Schedule, Rc<[u8]>)>,
    pub forecasts: Option<Forecasts>,
    pub record: Option<Record>,
    pub fleet: Option<Fleet>,
    pub recovery: Recovery,
    /// Others may listen at the same addresses: a successor takes over before this one stops.
    pub share_port: bool,
}

/// Membership of a fleet of schedulers.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub members: quartzdrift_membership::Settings,
    pub listen: SocketAddr,
    /// How long a silent scheduler counts as one that may be there.
    pub silent: Duration,
}

/// How service returns after a start.
#[derive(Clone, Debug)]
pub struct Recovery {
    pub ask: Duration,
    pub longest: Duration,
    pub idempotency_keys_on_disk: bool,
    pub pace: bool,
}

#[derive(Clone, Debug)]
pub struct Forecasts {
    pub settings: quartzdrift_forecast::Settings,
    pub every: Duration,
}

#[derive(Clone, Debug)]
pub struct Record {
    pub file: PathBuf,
    pub bytes: u64,
    pub hash_names: bool,
}

impl Settings {
    /// What the settings say of a function, by its name as it is loaded; a version or alias that they do not
    /// name is treated as the function itself.
    pub fn function(&self, loaded: &str) -> Option<Rc<Function>> {
        let plain = loaded.split(':').next().unwrap_or(loaded);
        let named = self.functions.get(loaded).or_else(|| self.functions.get(plain));
        named.or(self.default_function.as_ref()).cloned()
    }
}

/// Reads and checks a file; all that is wrong, in the order of the lines.
pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        let mend =
            "name a settings file that can be read; 'quartzdrift serve --help' shows a small one".to_owned();
        vec![Fault {
            file: name.clone(),
            line: 0,
            what: format!("cannot be read: {e}"),
            mend,
        }]
    })?;
    read(&name, &text)
}

/// The same for a text; `file` is its name in faults.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let raw: raw::File = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(0, |span| line_of(text, span.start));
        let (what, mend) = said(e.message());
        vec![Fault {
            file: file.to_owned(),
            line,
            what,
            mend,
        }]
    })?;
    check::check(file, text, &raw)
}

pub(crate) fn line_of(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|b| *b == b'\n').count() + 1
}

/// Splits the reader's message into what is wrong and how to mend it.
fn said(message: &str) -> (String, String) {
    if let Some((what, expected)) = message.split_once(", expected ") {
        return (what.to_owned(), format!("write {expected}"));
    }
    if let Some((what, mend)) = message.split_once("; ") {
        return (what.to_owned(), mend.to_owned());
    }
    let mend = match message.strip_prefix("missing field ") {
        Some(field) => format!("add {field}"),
        None => "see docs/operations.md for the form of this setting".to_owned(),
    };
    (message.to_owned(), mend)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What is wrong with a small settings file that has these lines under its only request class, then these tables.
    fn wrong(request_class: &str, tables: &str) -> Vec<String> {
        let text = format!(
            "[gateway]\nlisten = [\"127.0.0.1:0\"]\n[[workloads]]\nname = \"a\"\ntime_limit = \"3s\"\n{request_class}\n\
             [[functions]]\nname = \"f\"\nworkload = \"a\"\n[[workers]]\naddress = \"127.0.0.1:1\"\n{tables}\n"
        );
        let faults = read("test.toml", &text).err().unwrap_or_default();
        faults.into_iter().map(|fault| fault.what).collect()
    }

    #[test]
    fn a_rule_that_is_told_in_part_is_refused() {
        let whole = "effect = \"fingerprinted\"\ngroup = \"zone\"\nwindow = \"5s\"";
        assert_eq!(wrong(whole, ""), Vec::<String>::new());
        for part in ["group = \"zone\"\n", "window = \"5s\""] {
            let told = wrong(&whole.replace(part, ""), "");
            assert!(
                matches!(&told[..], [one] if one.contains("is not told")),
                "{part}: {told:?}"
            );
        }
        for part in ["[rules]\ncold_for = \"9s\"", "[copies]\nload_free = 6.0"] {
            let told = wrong("effect = \"restartable\"", part);
            assert!(
                matches!(&told[..], [one] if one.contains("in part")),
                "{part}: {told:?}"
            );
        }
    }
}
