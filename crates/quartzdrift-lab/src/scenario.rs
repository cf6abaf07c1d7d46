//! Scripts of days: small text files, one thing a line, `#` begins a remark.
//!
//! ```text
//! gateways 3
//! workers 8 cores=2 memory=1600 keep=8s cold=0.2 cold-for=4s fall=3 fall-window=1s queue=60
//! store capacity=8 limit=24 stops-at=0
//! roster lag=300ms
//! workload quote restartable rate=90 work=8ms limit=3s functions=12 memory=150 load=300ms slots=2
//! workload stamp fingerprinted window=5s rate=40 ...     also run-once; `deferred`; `hang-up=0.01`,
//!                                        `target=1s`; `pattern=daily period=30s most=4` (or steady, weekly, bursty,
//!                                        turning, timers with jitter=, scan, terms-end)
//! forecasts                             load ahead of need
//! length 30s
//! at 4s crash worker 2          also start, silent, hang, well, drain, and with a figure:
//! at 4s errors worker 2 0.8     share; also lose; `slow worker 2 500ms`, `late worker 2 2s`
//! at 9s replace workers 0 5 every=2s   each is drained, then killed, then started a second later
//! at 5s roster lag 3s           also stop, go, empty, full
//! at 5s store slow 5            also refuse, serve
//! at 7s kill gateway 1          and start; `gateways 0 9` for some; `pause gateway 1 10s`
//! at 8s apart gateways 0 9      no datagram passes between them and the others; `unheard`: none from them
//! at 9s together gateways       and it passes again; `lose datagrams 0.3`: that share is lost; also `double`
//! at 9s late datagrams 50ms     each by a chance part of that, so that they overtake each other
//! at 4s power off all           gateways, workers, roster in one moment; also `power off gateways 0 2`
//! at 5s power on gateways 0 2 every=300ms   also workers, and `power on roster`; the machines have started anew
//! at 5s clock gateway 1 ahead 1h            or behind; from its next start on
//! at 2s copy gateway 1          of its folder; `spoil gateway 1 older` puts it back while it is down; also
//!                               cut, flip, other, empty, unreadable, full
//! at 5s stop gateways 0 4       all told to stop as operators do, and waited for
//! at 5s link gateway 1 worker 2 stalled     no byte passes, and nothing ends; also deaf (no answer comes back), cut, well
//! at 5s link gateway 1 roster stalled       its list comes no more, and no stream ends; also well
//! clients repeats=6 haste=0.3   a call that was pushed back comes so often again, after such a part of the time that was told
//! fleet 50ms                    gateways are members of a fleet with this period, and keep deferred jobs on disk
//! ```
use crate::relay::LinkState;
use quartzdrift_scheduler::interface::Idempotency;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    pub name: String,
    pub idempotency: Idempotency,
    pub deduplication_window: Duration,
    pub rate: f64,
    pub mean_work: Duration,
    pub time_limit: Duration,
    pub function_count: usize,
    pub memory_mb: f64,
    pub load_time: Duration,
    pub slots: usize,
    pub asynchronous: bool,
    pub hang_up_share: f64,
    pub latency_objective: Duration,
    pub pattern: Pattern,
}

/// How calls come over time, spans in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Pattern {
    Steady,
    /// From 1 to `most` times the rate and back in each period.
    Daily {
        period: f64,
        most: f64,
    },
    /// Five such days of `period` and two without the swing.
    Weekly {
        period: f64,
        most: f64,
    },
    /// `most` times the rate for a fifth of the time, half of it otherwise.
    Bursty {
        every: f64,
        most: f64,
    },
    /// A few functions draw most calls, and others take their place.
    Turning {
        every: f64,
    },
    /// Each function by a timer of its own, of about this period.
    Timers {
        period: f64,
        jitter: f64,
    },
    /// Each function once.
    Scan,
    /// A swing of several times, late in the day.
    TermsEnd {
        most: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Crash(usize),
    Start(usize),
    Silent(usize),
    Hang(usize),
    Well(usize),
    Drain(usize),
    Errors(usize, f64),
    Lose(usize, f64),
    Slow(usize, Duration),
    Late(usize, Duration),
    DiscoveryLag(Duration),
    DiscoveryStop(bool),
    DiscoveryEmpty(bool),
    StoreSlow(f64),
    StoreRefuse(bool),
    KillGateway(usize),
    StartGateway(usize),
    PauseGateway(usize, Duration),
    /// Datagrams between these gateways and the others are lost; one way: only those from them.
    Apart {
        first: usize,
        last: usize,
        one_way: bool,
    },
    Together,
    LoseDatagrams(f64),
    DoubleDatagrams(f64),
    LateDatagrams(Duration),
    /// Gateways from the first to the last; workers and roster too where it is all.
    PowerOff {
        gateways: Option<(usize, usize)>,
    },
    /// As operators stop them, all told in one moment.
    StopGateways(usize, usize),
    /// Started on a machine that was started anew.
    PowerOnGateway(usize),
    /// The wall clock of its next starts: ahead, or behind.
    Clock(usize, Duration, bool),
    CopyState(usize),
    /// Between a gateway and a worker.
    Link(usize, usize, LinkState),
    /// Whether a gateway's stream of lists stalls.
    DiscoveryStall(usize, bool),
    Spoil(usize, StateDamage),
}

/// What becomes of a state folder while its process is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateDamage {
    Cut,
    Flip,
    Older,
    Other,
    Empty,
    Unreadable,
    /// Nothing can be written any more.
    Full,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub gateways: usize,
    pub workers: usize,
    pub cores: f64,
    pub memory_mb: f64,
    pub keep_loaded: Duration,
    pub cold_from: f64,
    pub cold_for: Duration,
    pub fall_multiple: f64,
    pub fall_window: Duration,
    pub max_waiting_calls: usize,
    pub store_capacity: f64,
    pub store_limit: usize,
    pub store_stops_at: usize,
    pub discovery_lag: Duration,
    pub request_classes: Vec<RequestClass>,
    pub length: Duration,
    pub faults: Vec<(Duration, Fault)>,
    /// Load ahead of need by forecasts, on sockets; the emulator is told by its variants.
    pub forecasts: bool,
    /// The members' period, where gateways are a fleet.
    pub gossip_period: Option<Duration>,
    /// How often a call that was rejected comes again at most, and after which part of the time that it was told at least.
    pub max_retries: u32,
    pub retry_wait_factor: f64,
}

struct Words<'a>(Vec<&'a str>);

impl<'a> Words<'a> {
    fn at(&self, n: usize) -> Result<&'a str, String> {
        self.0
            .get(n)
            .copied()
            .ok_or_else(|| "the line is cut short".to_owned())
    }

    fn value(&self, key: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    fn number<T: std::str::FromStr>(&self, key: &str, or: T) -> Result<T, String> {
        self.value(key).map_or(Ok(or), |v| {
            v.parse().map_err(|_| format!("{key}={v} is no number"))
        })
    }

    fn span(&self, key: &str, or: Duration) -> Result<Duration, String> {
        self.value(key).map_or(Ok(or), span)
    }

    fn known(&self, keys: &[&str]) -> Result<(), String> {
        let strange = |word: &&&str| word.split_once('=').is_some_and(|(key, _)| !keys.contains(&key));
        self.0
            .iter()
            .find(strange)
            .map_or(Ok(()), |word| Err(format!("'{word}' says nothing here")))
    }
}

pub fn span(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|e| format!("'{text}' is no span of time: {e}"))
}

/// Reads a script; `Err` names the line.
pub fn read(text: &str) -> Result<Scenario, String> {
    let mut script = Scenario {
        gateways: 1,
        workers: 3,
        cores: 2.0,
        memory_mb: 2000.0,
        keep_loaded: Duration::from_secs(8),
        cold_from: 1.0,
        cold_for: Duration::ZERO,
        fall_multiple: 0.0,
        fall_window: Duration::from_secs(1),
        max_waiting_calls: 60,
        store_capacity: 16.0,
        store_limit: 64,
        store_stops_at: 0,
        discovery_lag: Duration::ZERO,
        request_classes: Vec::new(),
        length: Duration::from_secs(10),
        faults: Vec::new(),
        forecasts: false,
        gossip_period: None,
        max_retries: 2,
        retry_wait_factor: 1.0,
    };
    for (n, line) in text.lines().enumerate() {
        let words = Words(line.split('#').next().unwrap_or("").split_whitespace().collect());
        if !words.0.is_empty() {
            script
                .line(&words)
                .map_err(|why| format!("line {}: {why}", n + 1))?;
        }
    }
    if script.request_classes.is_empty() {
        return Err("there is no workload".to_owned());
    }
    script.faults.sort_by_key(|(at, _)| *at);
    for (_, fault) in &script.faults {
        if let Fault::Link(_, worker, _) = fault
            && *worker >= script.workers
        {
            return Err(format!(
                "{fault:?} names a worker that is not there: they are counted from 0"
            ));
        }
        let (of, most) = match fault {
            Fault::KillGateway(n)
            | Fault::StartGateway(n)
            | Fault::PauseGateway(n, _)
            | Fault::PowerOnGateway(n)
            | Fault::Clock(n, ..)
            | Fault::CopyState(n)
            | Fault::Link(n, ..)
            | Fault::DiscoveryStall(n, _)
            | Fault::Spoil(n, _) => (*n, script.gateways),
            Fault::Apart { last, .. } => (*last, script.gateways),
            Fault::StopGateways(_, last) => (*last, script.gateways),
            Fault::PowerOff { gateways } => (gateways.map_or(0, |(_, last)| last), script.gateways),
            Fault::Crash(n)
            | Fault::Start(n)
            | Fault::Silent(n)
            | Fault::Hang(n)
            | Fault::Well(n)
            | Fault::Drain(n)
            | Fault::Errors(n, _)
            | Fault::Lose(n, _)
            | Fault::Slow(n, _)
            | Fault::Late(n, _) => (*n, script.workers),
            Fault::DiscoveryLag(_)
            | Fault::DiscoveryStop(_)
            | Fault::DiscoveryEmpty(_)
            | Fault::StoreSlow(_)
            | Fault::StoreRefuse(_)
            | Fault::Together
            | Fault::LoseDatagrams(_)
            | Fault::DoubleDatagrams(_)
            | Fault::LateDatagrams(_) => (0, 1),
        };
        if of >= most {
            return Err(format!(
                "{fault:?} names one that is not there: they are counted from 0"
            ));
        }
    }
    Ok(script)
}

impl Scenario {
    /// The request class of a function, with its place: functions bear its name and a number.
    pub fn request_class_of(&self, function: &str) -> Option<(usize, &RequestClass)> {
        let (name, _) = function.rsplit_once('-')?;
        self.request_classes
            .iter()
            .enumerate()
            .find(|(_, request_class)| request_class.name == name)
    }

    fn line(&mut self, words: &Words) -> Result<(), String> {
        let count = || {
            words
                .at(1)?
                .parse::<usize>()
                .map_err(|_| "there is no count".to_owned())
        };
        match words.at(0)? {
            "gateways" => self.gateways = count()?,
            "workers" => {
                words.known(&[
                    "cores",
                    "memory",
                    "keep",
                    "cold",
                    "cold-for",
                    "fall",
                    "fall-window",
                    "queue",
                ])?;
                self.workers = count()?;
                self.cores = words.number("cores", self.cores)?;
                self.memory_mb = words.number("memory", self.memory_mb)?;
                self.keep_loaded = words.span("keep", self.keep_loaded)?;
                self.cold_from = words.number("cold", self.cold_from)?;
                self.cold_for = words.span("cold-for", self.cold_for)?;
                self.fall_multiple = words.number("fall", self.fall_multiple)?;
                self.fall_window = words.span("fall-window", self.fall_window)?;
                self.max_waiting_calls = words.number("queue", self.max_waiting_calls)?;
            }
            "store" => {
                words.known(&["capacity", "limit", "stops-at"])?;
                self.store_capacity = words.number("capacity", self.store_capacity)?;
                self.store_limit = words.number("limit", self.store_limit)?;
                self.store_stops_at = words.number("stops-at", self.store_stops_at)?;
            }
            "roster" => {
                words.known(&["lag"])?;
                self.discovery_lag = words.span("lag", self.discovery_lag)?;
            }
            "clients" => {
                words.known(&["repeats", "haste"])?;
                self.max_retries = words.number("repeats", self.max_retries)?;
                self.retry_wait_factor = words.number("haste", self.retry_wait_factor)?;
            }
            "forecasts" => self.forecasts = true,
            "fleet" => self.gossip_period = Some(span(words.at(1)?)?),
            "workload" => self.request_classes.push(request_class(words)?),
            "length" => self.length = span(words.at(1)?)?,
            "at" => {
                let at = span(words.at(1)?)?;
                self.fault(at, words)?;
            }
            other => return Err(format!("'{other}' begins no line")),
        }
        Ok(())
    }

    fn fault(&mut self, at: Duration, words: &Words) -> Result<(), String> {
        let index = |n: usize| {
            words
                .at(n)?
                .parse::<usize>()
                .map_err(|_| "there is no number".to_owned())
        };
        let share = || {
            words
                .at(4)?
                .parse::<f64>()
                .map_err(|_| "there is no share".to_owned())
        };
        let fault = match (words.at(2)?, words.at(3)?) {
            ("crash", "worker") => Fault::Crash(index(4)?),
            ("start", "worker") => Fault::Start(index(4)?),
            ("silent", "worker") => Fault::Silent(index(4)?),
            ("hang", "worker") => Fault::Hang(index(4)?),
            ("well", "worker") => Fault::Well(index(4)?),
            ("drain", "worker") => Fault::Drain(index(4)?),
            ("errors", "worker") => Fault::Errors(index(4)?, number(words.at(5)?)?),
            ("lose", "worker") => Fault::Lose(index(4)?, number(words.at(5)?)?),
            ("slow", "worker") => Fault::Slow(index(4)?, span(words.at(5)?)?),
            ("late", "worker") => Fault::Late(index(4)?, span(words.at(5)?)?),
            ("replace", "workers") => {
                let every = words.span("every", Duration::from_secs(1))?;
                for (n, worker) in (index(4)?..=index(5)?).enumerate() {
                    let drained = at + every * n as u32;
                    let second = Duration::from_secs(1);
                    self.faults.push((drained, Fault::Drain(worker)));
                    self.faults.push((drained + second, Fault::Crash(worker)));
                    self.faults.push((drained + 2 * second, Fault::Start(worker)));
                }
                return Ok(());
            }
            ("roster", "lag") => Fault::DiscoveryLag(span(words.at(4)?)?),
            ("roster", "stop") => Fault::DiscoveryStop(true),
            ("roster", "go") => Fault::DiscoveryStop(false),
            ("roster", "empty") => Fault::DiscoveryEmpty(true),
            ("roster", "full") => Fault::DiscoveryEmpty(false),
            ("store", "slow") => Fault::StoreSlow(share()?),
            ("store", "refuse") => Fault::StoreRefuse(true),
            ("store", "serve") => Fault::StoreRefuse(false),
            ("kill", "gateway") => Fault::KillGateway(index(4)?),
            ("start", "gateway") => Fault::StartGateway(index(4)?),
            ("pause", "gateway") => Fault::PauseGateway(index(4)?, span(words.at(5)?)?),
            ("kill", "gateways") => {
                self.faults
                    .extend((index(4)?..=index(5)?).map(|n| (at, Fault::KillGateway(n))));
                return Ok(());
            }
            ("start", "gateways") => {
                self.faults
                    .extend((index(4)?..=index(5)?).map(|n| (at, Fault::StartGateway(n))));
                return Ok(());
            }
            ("apart", "gateways") | ("unheard", "gateways") => {
                let one_way = words.at(2)? == "unheard";
                Fault::Apart {
                    first: index(4)?,
                    last: index(5)?,
                    one_way,
                }
            }
            ("together", "gateways") => Fault::Together,
            ("lose", "datagrams") => Fault::LoseDatagrams(share()?),
            ("double", "datagrams") => Fault::DoubleDatagrams(share()?),
            ("late", "datagrams") => Fault::LateDatagrams(span(words.at(4)?)?),
            ("clock", "gateway") => {
                let ahead = match words.at(5)? {
                    "ahead" => true,
                    "behind" => false,
                    other => return Err(format!("a clock is ahead or behind, not '{other}'")),
                };
                Fault::Clock(index(4)?, span(words.at(6)?)?, ahead)
            }
            ("link", "gateway") if words.at(5)? == "roster" => match words.at(6)? {
                "stalled" => Fault::DiscoveryStall(index(4)?, true),
                "well" => Fault::DiscoveryStall(index(4)?, false),
                other => {
                    return Err(format!(
                        "the link to the roster is stalled or well, not '{other}'"
                    ));
                }
            },
            ("link", "gateway") if words.at(5)? == "worker" => {
                let link = match words.at(7)? {
                    "well" => LinkState::Well,
                    "stalled" => LinkState::Stalled,
                    "deaf" => LinkState::Deaf,
                    "cut" => LinkState::Cut,
                    other => return Err(format!("no link is '{other}'")),
                };
                Fault::Link(index(4)?, index(6)?, link)
            }
            ("copy", "gateway") => Fault::CopyState(index(4)?),
            ("spoil", "gateway") => Fault::Spoil(index(4)?, state_damage(words.at(5)?)?),
            ("stop", "gateways") => Fault::StopGateways(index(4)?, index(5)?),
            ("power", "off") => match words.at(4)? {
                "all" => Fault::PowerOff { gateways: None },
                _ => Fault::PowerOff {
                    gateways: Some((index(5)?, index(6)?)),
                },
            },
            ("power", "on") => {
                let every = words.span("every", Duration::ZERO)?;
                let on: fn(usize) -> Fault = match words.at(4)? {
                    "gateways" => Fault::PowerOnGateway,
                    "workers" => Fault::Start,
                    "roster" => |_| Fault::DiscoveryStop(false),
                    other => return Err(format!("there is no power for '{other}'")),
                };
                let (first, last) = if words.at(4)? == "roster" {
                    (0, 0)
                } else {
                    (index(5)?, index(6)?)
                };
                self.faults.extend(
                    (first..=last)
                        .zip(0..)
                        .map(|(n, step)| (at + every * step, on(n))),
                );
                return Ok(());
            }
            (verb, of) => return Err(format!("'{verb} {of}' is no trouble")),
        };
        self.faults.push((at, fault));
        Ok(())
    }
}

fn state_damage(text: &str) -> Result<StateDamage, String> {
    Ok(match text {
        "cut" => StateDamage::Cut,
        "flip" => StateDamage::Flip,
        "older" => StateDamage::Older,
        "other" => StateDamage::Other,
        "empty" => StateDamage::Empty,
        "unreadable" => StateDamage::Unreadable,
        "full" => StateDamage::Full,
        other => return Err(format!("nothing is spoilt by '{other}'")),
    })
}

fn number(text: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("'{text}' is no number"))
}

fn pattern(words: &Words) -> Result<Pattern, String> {
    let period = words.span("period", Duration::from_secs(30))?.as_secs_f64();
    let most = words.number("most", 4.0)?;
    Ok(match words.value("pattern").unwrap_or("steady") {
        "steady" => Pattern::Steady,
        "daily" => Pattern::Daily { period, most },
        "weekly" => Pattern::Weekly { period, most },
        "bursty" => Pattern::Bursty { every: period, most },
        "turning" => Pattern::Turning { every: period },
        "timers" => Pattern::Timers {
            period,
            jitter: words.span("jitter", Duration::ZERO)?.as_secs_f64(),
        },
        "scan" => Pattern::Scan,
        "terms-end" => Pattern::TermsEnd { most },
        other => return Err(format!("'{other}' is no pattern")),
    })
}

fn request_class(words: &Words) -> Result<RequestClass, String> {
    words.known(&[
        "window",
        "rate",
        "work",
        "limit",
        "functions",
        "memory",
        "load",
        "lanes",
        "hang-up",
        "target",
        "pattern",
        "period",
        "most",
        "jitter",
    ])?;
    let ms = Duration::from_millis;
    Ok(RequestClass {
        name: words.at(1)?.to_owned(),
        idempotency: match words.at(2)? {
            "restartable" => Idempotency::Idempotent,
            "fingerprinted" => Idempotency::IdempotentWithKey,
            "run-once" => Idempotency::NonIdempotent,
            other => return Err(format!("'{other}' is no effect")),
        },
        deduplication_window: words.span("window", ms(5000))?,
        rate: words.number("rate", 10.0)?,
        mean_work: words.span("work", ms(5))?,
        time_limit: words.span("limit", ms(3000))?,
        function_count: words.number("functions", 1)?,
        memory_mb: words.number("memory", 100.0)?,
        load_time: words.span("load", ms(200))?,
        slots: words.number("lanes", 4)?,
        asynchronous: words.0.contains(&"deferred"),
        hang_up_share: words.number("hang-up", 0.0)?,
        latency_objective: words.span("target", words.span("limit", ms(3000))?)?,
        pattern: pattern(words)?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scripts_are_read_and_mistakes_named() {
        let script = read("gateways 2\nworkers 4 cores=1\nworkload a run-once rate=5\nat 2s replace workers 0 1 every=3s\nat 1s lose worker 3 0.5").unwrap();
        assert_eq!(
            (
                script.gateways,
                script.cores,
                script.request_classes[0].idempotency
            ),
            (2, 1.0, Idempotency::NonIdempotent)
        );
        assert_eq!(script.faults[0], (Duration::from_secs(1), Fault::Lose(3, 0.5)));
        assert_eq!(script.faults.len(), 7);
        for (text, line) in [
            ("workers x", "line 1"),
            ("\nat 2s tickle worker 1", "line 2"),
            ("workload a run-once rat=5", "line 1"),
            ("workload a restartable\nat 1s crash worker 9", "counted from 0"),
            ("workload a restartable\nat 1 crash worker 0", "line 2"),
        ] {
            let why = read(text).unwrap_err();
            assert!(why.contains(line), "{text}: {why}");
        }
    }
}
