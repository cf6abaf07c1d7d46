//! Scenario files: small text files with one directive a line; `#` begins a comment.
//!
//! A scenario describes gateways, workers, the traffic of clients, and faults at given times. Gateways,
//! workers and schedulers are numbered from 0; ranges include both ends.
//!
//! ```text
//! gateways 3
//! workers 8 cores=2 memory=1600 keep=8s cold=0.2 cold-for=4s fall=3 fall-window=1s queue=60
//! store capacity=8 limit=24 stops-at=0
//! roster lag=300ms                      delay of service discovery
//! workload quote restartable rate=90 work=8ms limit=3s functions=12 memory=150 load=300ms lanes=2
//! workload stamp fingerprinted window=5s rate=40 ...
//!                                       effects: restartable (idempotent), fingerprinted (idempotent with a
//!                                       key), run-once (not idempotent); `deferred` (asynchronous),
//!                                       `hang-up=0.01`, `target=1s`, `pattern=daily period=30s most=4`;
//!                                       patterns: steady, daily, weekly, bursty, turning, scan, terms-end,
//!                                       timers (with `jitter=`)
//! clients repeats=6 haste=0.3           retries of a rejected call, and the least share of the wait that the
//!                                       gateway asked for
//! forecasts                             gateways load functions ahead of need
//! fleet 50ms                            gateways form a membership with this gossip period, and store
//!                                       asynchronous requests on disk
//! length 30s
//! at 4s crash worker 2                  also start, silent, hang, well (clears the faults), drain
//! at 4s errors worker 2 0.8             share of calls that fail; also lose (responses)
//! at 4s slow worker 2 500ms             delay of responses; also late (load reports)
//! at 9s replace workers 0 5 every=2s    drains each worker, kills it 1 s later, and starts it 1 s after
//!                                       that
//! at 5s roster lag 3s                   also stop, go, empty, full
//! at 5s store slow 5                    also refuse, serve
//! at 7s kill gateway 1                  also start; `gateways 0 9` for a range; `pause gateway 1 10s`
//! at 5s stop gateways 0 4               SIGTERM, and waits until they have ended
//! at 8s apart gateways 0 9              network partition between these gateways and the others; with
//!                                       `unheard` only datagrams from these gateways are lost
//! at 9s together gateways               ends partitions and all other datagram faults
//! at 9s lose datagrams 0.3              share of datagrams that is lost; also double (sent twice)
//! at 9s late datagrams 50ms             random delays up to this, so that datagrams are reordered
//! at 5s link gateway 1 worker 2 stalled no byte passes and no connection ends; also deaf (only responses are
//!                                       held), cut, well
//! at 5s link gateway 1 roster stalled   discovery sends nothing more and closes no stream; also well
//! at 4s power off all                   gateways, workers and discovery lose power together; also
//!                                       `power off gateways 0 2`
//! at 5s power on gateways 0 2 every=300ms
//!                                       with a new boot id; also workers, and `power on roster`
//! at 5s clock gateway 1 ahead 1h        wall clock from the next start on; also behind
//! at 2s copy gateway 1                  copies the state folder for `spoil gateway 1 older`
//! at 4s spoil gateway 1 older           damages the state folder of a gateway that is down; also cut, flip,
//!                                       other, empty, unreadable, full
//! ```
use crate::relay::LinkState;
use quartzdrift_scheduler::interface::Idempotency;
use std::time::Duration;

/// A request class with the traffic that clients send of it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    pub name: String,
    pub idempotency: Idempotency,
    /// Time for which workers recognise a repeated request by its idempotency key.
    pub deduplication_window: Duration,
    /// Mean calls a second, which [`RequestClass::pattern`] scales over time.
    pub rate: f64,
    /// Mean work of a call, as time on one core.
    pub mean_work: Duration,
    /// Longest time that a client waits for the response.
    pub time_limit: Duration,
    /// Number of functions that the calls are spread over.
    pub function_count: usize,
    /// Memory of a loaded copy of a function, in MB.
    pub memory_mb: f64,
    /// Time that a worker needs to load a function.
    pub load_time: Duration,
    /// Calls that a loaded copy runs at the same time.
    pub slots: usize,
    pub asynchronous: bool,
    /// Share of calls whose client disconnects before the response.
    pub early_disconnect_share: f64,
    pub latency_objective: Duration,
    pub pattern: Pattern,
}

/// Variation of the call rate over time. Times are in seconds; `peak_factor` is a multiple of the class's
/// rate.
#[derive(Clone, Debug, PartialEq)]
pub enum Pattern {
    Steady,
    /// Within each period the rate rises from the class's rate to `peak_factor` times that, and falls again.
    Daily {
        period: f64,
        peak_factor: f64,
    },
    /// Five daily periods, then two periods at the class's rate.
    Weekly {
        period: f64,
        peak_factor: f64,
    },
    /// `peak_factor` times the rate in the first fifth of each interval, and half the rate in the rest.
    Bursty {
        every: f64,
        peak_factor: f64,
    },
    /// Three functions get 70 % of the calls; other three replace them in each interval of `every` seconds.
    RotatingFunctions {
        every: f64,
    },
    /// Each function is called by its own timer, with about this period and a random delay up to `jitter`.
    Timers {
        period: f64,
        jitter: f64,
    },
    /// Each call is for a function that was not called before.
    Scan,
    /// `peak_factor` times the rate from 60 % to 85 % of the scenario's length.
    LatePeak {
        peak_factor: f64,
    },
}

/// A fault or another operation of a scenario. Plain numbers are indices of workers or gateways.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills a worker; discovery lists it as gone.
    CrashWorker(usize),
    /// Starts a worker without faults at its previous address.
    StartWorker(usize),
    /// The worker accepts calls and sends no responses.
    SilenceWorker(usize),
    /// The worker stops its running calls and sends no responses.
    HangWorker(usize),
    /// Clears the faults of a worker.
    ClearWorkerFaults(usize),
    DrainWorker(usize),
    /// This share of a worker's calls fails at once.
    FailCalls(usize, f64),
    /// For this share of a worker's calls the connection is closed in place of the response.
    LoseResponses(usize, f64),
    /// The worker delays each response by this time.
    DelayResponses(usize, Duration),
    /// The worker's load reports are older by this time.
    DelayReports(usize, Duration),
    /// Sets the delay until discovery reports a change.
    SetDiscoveryLag(Duration),
    /// With `true` discovery closes its streams and answers no request; `false` ends this fault.
    StopDiscovery(bool),
    /// With `true` discovery returns an empty endpoint list; `false` ends this fault.
    EmptyDiscovery(bool),
    /// Multiplies the duration of fetches from the store by this factor.
    SlowStore(f64),
    /// With `true` the store rejects every fetch; `false` ends this fault.
    RejectFetches(bool),
    KillGateway(usize),
    StartGateway(usize),
    /// Stops the gateway's process by SIGSTOP for this time.
    PauseGateway(usize, Duration),
    /// Loses the datagrams between the gateways `first` to `last` and the others; with `one_way` only those
    /// that the gateways `first` to `last` send.
    Partition {
        first: usize,
        last: usize,
        one_way: bool,
    },
    /// Ends partitions and all other datagram faults.
    ClearDatagramFaults,
    /// Sets the share of datagrams that are lost.
    LoseDatagrams(f64),
    /// Sets the share of datagrams that arrive twice.
    DuplicateDatagrams(f64),
    /// Delays each datagram by a random time up to this maximum.
    DelayDatagrams(Duration),
    /// Cuts the power of a range of gateways, or, with `None`, of all gateways, the workers and discovery.
    PowerOff {
        gateways: Option<(usize, usize)>,
    },
    /// Stops a range of gateways by SIGTERM, all at the same time.
    StopGateways(usize, usize),
    /// Starts a gateway with a new boot id, as on a machine that has just booted.
    PowerOnGateway(usize),
    /// Shifts the gateway's wall clock from its next start on, ahead with `true` and behind with `false`.
    ShiftClock(usize, Duration, bool),
    /// Copies the gateway's state folder, for [`StateDamage::OlderCopy`].
    CopyState(usize),
    /// Sets the state of the link from a gateway to a worker.
    SetLinkState(usize, usize, LinkState),
    /// With `true` discovery sends nothing more to a gateway and leaves its stream open; `false` ends this
    /// fault.
    StallDiscovery(usize, bool),
    /// Damages the state folder of a gateway that is not running.
    DamageState(usize, StateDamage),
}

/// Damage to the state folder of a gateway that is not running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateDamage {
    /// The checkpoint is cut to half its length.
    Truncated,
    /// One bit of the checkpoint is flipped.
    BitFlipped,
    /// The folder is replaced by its earlier copy.
    OlderCopy,
    /// The folder is replaced by that of another gateway, except for the store of asynchronous requests.
    OtherGateway,
    /// The folder is deleted.
    Deleted,
    /// The checkpoint cannot be read as a file.
    Unreadable,
    /// No file can be written from the next start on.
    DiskFull,
}

/// A scenario as read from its file.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub gateways: usize,
    pub workers: usize,
    /// Cores of each worker.
    pub cores: f64,
    /// Memory of each worker, in MB.
    pub memory_mb: f64,
    /// Time for which a worker keeps an unused copy loaded.
    pub keep_alive: Duration,
    /// Share of its capacity that a worker has at its start; it grows to 1 within `slow_start_duration`.
    pub slow_start_min_capacity: f64,
    pub slow_start_duration: Duration,
    /// Overload bound of a cold worker, as a multiple of its capacity: the worker crashes when the work sent
    /// to it within `overload_window` exceeds the bound. 0: no bound.
    pub overload_multiple: f64,
    pub overload_window: Duration,
    /// Most calls that wait at a worker, which rejects further ones.
    pub max_queue_length: usize,
    /// Concurrent fetches that the store serves at full speed.
    pub store_capacity: f64,
    /// Most concurrent fetches; the store rejects further ones.
    pub store_max_concurrent_fetches: usize,
    /// Number of fetches rejected within a second that causes an outage of the store; 0 disables outages.
    pub store_outage_threshold: usize,
    /// Delay until discovery reports a change.
    pub discovery_lag: Duration,
    pub request_classes: Vec<RequestClass>,
    pub length: Duration,
    /// Faults with their times since the start of the traffic, in ascending order.
    pub faults: Vec<(Duration, Fault)>,
    /// Whether gateway processes load functions ahead of need by forecasts. The simulation takes this setting
    /// from its variants instead.
    pub forecasts: bool,
    /// Gossip period of the gateways' membership; `None`: the gateways run without a membership.
    pub gossip_period: Option<Duration>,
    /// Most retries of a rejected call.
    pub max_retries: u32,
    /// Least wait of a client before a retry, as a share of the retry time that the gateway stated.
    pub retry_wait_factor: f64,
}

/// The words of a line of a scenario file.
struct Words<'a>(Vec<&'a str>);

impl<'a> Words<'a> {
    fn word(&self, n: usize) -> Result<&'a str, String> {
        let length = self.0.len();
        self.0
            .get(n)
            .copied()
            .ok_or_else(|| format!("word {} is missing: the line has only {length} words", n + 1))
    }

    /// The value of an option `key=value`.
    fn option(&self, key: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    fn number_option<T: std::str::FromStr>(&self, key: &str, default: T) -> Result<T, String> {
        self.option(key).map_or(Ok(default), |value| {
            value
                .parse()
                .map_err(|_| format!("'{value}' in '{key}={value}' is not a valid number"))
        })
    }

    fn duration_option(&self, key: &str, default: Duration) -> Result<Duration, String> {
        self.option(key).map_or(Ok(default), parse_duration)
    }

    fn reject_unknown_options(&self, known: &[&str]) -> Result<(), String> {
        let is_unknown = |word: &&&str| word.split_once('=').is_some_and(|(key, _)| !known.contains(&key));
        self.0.iter().find(is_unknown).map_or(Ok(()), |word| {
            Err(format!("unknown option '{word}': expected {}", known.join(", ")))
        })
    }
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|e| format!("'{text}' is not a duration: {e}"))
}

/// Parses the text of a scenario file; errors name the line.
pub fn read(text: &str) -> Result<Scenario, String> {
    let mut scenario = Scenario {
        gateways: 1,
        workers: 3,
        cores: 2.0,
        memory_mb: 2000.0,
        keep_alive: Duration::from_secs(8),
        slow_start_min_capacity: 1.0,
        slow_start_duration: Duration::ZERO,
        overload_multiple: 0.0,
        overload_window: Duration::from_secs(1),
        max_queue_length: 60,
        store_capacity: 16.0,
        store_max_concurrent_fetches: 64,
        store_outage_threshold: 0,
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
            scenario
                .read_line(&words)
                .map_err(|error| format!("line {}: {error}", n + 1))?;
        }
    }
    if scenario.request_classes.is_empty() {
        return Err("the scenario has no request class: add a 'workload' line".to_owned());
    }
    scenario.faults.sort_by_key(|(at, _)| *at);
    for (at, fault) in &scenario.faults {
        if let Fault::SetLinkState(_, worker, _) = fault
            && *worker >= scenario.workers
        {
            return Err(format!(
                "the fault at {at:?} needs worker {worker}; the scenario has {} workers, counted from 0",
                scenario.workers
            ));
        }
        let (index, count, kind) = match fault {
            Fault::KillGateway(n)
            | Fault::StartGateway(n)
            | Fault::PauseGateway(n, _)
            | Fault::PowerOnGateway(n)
            | Fault::ShiftClock(n, ..)
            | Fault::CopyState(n)
            | Fault::SetLinkState(n, ..)
            | Fault::StallDiscovery(n, _)
            | Fault::DamageState(n, _)
            | Fault::Partition { last: n, .. }
            | Fault::StopGateways(_, n) => (*n, scenario.gateways, "gateway"),
            Fault::PowerOff { gateways } => {
                let last = gateways.map_or(0, |(_, last)| last);
                (last, scenario.gateways, "gateway")
            }
            Fault::CrashWorker(n)
            | Fault::StartWorker(n)
            | Fault::SilenceWorker(n)
            | Fault::HangWorker(n)
            | Fault::ClearWorkerFaults(n)
            | Fault::DrainWorker(n)
            | Fault::FailCalls(n, _)
            | Fault::LoseResponses(n, _)
            | Fault::DelayResponses(n, _)
            | Fault::DelayReports(n, _) => (*n, scenario.workers, "worker"),
            Fault::SetDiscoveryLag(_)
            | Fault::StopDiscovery(_)
            | Fault::EmptyDiscovery(_)
            | Fault::SlowStore(_)
            | Fault::RejectFetches(_)
            | Fault::ClearDatagramFaults
            | Fault::LoseDatagrams(_)
            | Fault::DuplicateDatagrams(_)
            | Fault::DelayDatagrams(_) => continue,
        };
        if index >= count {
            return Err(format!(
                "the fault at {at:?} needs {kind} {index}; the scenario has {count} {kind}s, counted from 0"
            ));
        }
    }
    Ok(scenario)
}

impl Scenario {
    /// The request class of a function, with its index. A function is named after its request class, with a
    /// number, as in `quote-3`.
    pub fn request_class_of(&self, function: &str) -> Option<(usize, &RequestClass)> {
        let (name, _) = function.rsplit_once('-')?;
        self.request_classes
            .iter()
            .enumerate()
            .find(|(_, request_class)| request_class.name == name)
    }

    fn read_line(&mut self, words: &Words) -> Result<(), String> {
        let count = || {
            let word = words.word(1)?;
            word.parse::<usize>()
                .map_err(|_| format!("'{word}' is not a valid count"))
        };
        match words.word(0)? {
            "gateways" => self.gateways = count()?,
            "workers" => {
                words.reject_unknown_options(&[
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
                self.cores = words.number_option("cores", self.cores)?;
                self.memory_mb = words.number_option("memory", self.memory_mb)?;
                self.keep_alive = words.duration_option("keep", self.keep_alive)?;
                self.slow_start_min_capacity = words.number_option("cold", self.slow_start_min_capacity)?;
                self.slow_start_duration = words.duration_option("cold-for", self.slow_start_duration)?;
                self.overload_multiple = words.number_option("fall", self.overload_multiple)?;
                self.overload_window = words.duration_option("fall-window", self.overload_window)?;
                self.max_queue_length = words.number_option("queue", self.max_queue_length)?;
            }
            "store" => {
                words.reject_unknown_options(&["capacity", "limit", "stops-at"])?;
                self.store_capacity = words.number_option("capacity", self.store_capacity)?;
                self.store_max_concurrent_fetches =
                    words.number_option("limit", self.store_max_concurrent_fetches)?;
                self.store_outage_threshold = words.number_option("stops-at", self.store_outage_threshold)?;
            }
            "roster" => {
                words.reject_unknown_options(&["lag"])?;
                self.discovery_lag = words.duration_option("lag", self.discovery_lag)?;
            }
            "clients" => {
                words.reject_unknown_options(&["repeats", "haste"])?;
                self.max_retries = words.number_option("repeats", self.max_retries)?;
                self.retry_wait_factor = words.number_option("haste", self.retry_wait_factor)?;
            }
            "forecasts" => self.forecasts = true,
            "fleet" => self.gossip_period = Some(parse_duration(words.word(1)?)?),
            "workload" => self.request_classes.push(read_request_class(words)?),
            "length" => self.length = parse_duration(words.word(1)?)?,
            "at" => {
                let at = parse_duration(words.word(1)?)?;
                self.read_fault(at, words)?;
            }
            other => return Err(format!("unknown directive '{other}'")),
        }
        Ok(())
    }

    fn read_fault(&mut self, at: Duration, words: &Words) -> Result<(), String> {
        let index = |n: usize| {
            let word = words.word(n)?;
            word.parse::<usize>()
                .map_err(|_| format!("'{word}' is not a valid index"))
        };
        let factor = || {
            let word = words.word(4)?;
            word.parse::<f64>()
                .map_err(|_| format!("'{word}' is not a valid number"))
        };
        let fault = match (words.word(2)?, words.word(3)?) {
            ("crash", "worker") => Fault::CrashWorker(index(4)?),
            ("start", "worker") => Fault::StartWorker(index(4)?),
            ("silent", "worker") => Fault::SilenceWorker(index(4)?),
            ("hang", "worker") => Fault::HangWorker(index(4)?),
            ("well", "worker") => Fault::ClearWorkerFaults(index(4)?),
            ("drain", "worker") => Fault::DrainWorker(index(4)?),
            ("errors", "worker") => Fault::FailCalls(index(4)?, parse_number(words.word(5)?)?),
            ("lose", "worker") => Fault::LoseResponses(index(4)?, parse_number(words.word(5)?)?),
            ("slow", "worker") => Fault::DelayResponses(index(4)?, parse_duration(words.word(5)?)?),
            ("late", "worker") => Fault::DelayReports(index(4)?, parse_duration(words.word(5)?)?),
            ("replace", "workers") => {
                let every = words.duration_option("every", Duration::from_secs(1))?;
                for (n, worker) in (index(4)?..=index(5)?).enumerate() {
                    let drained = at + every * n as u32;
                    let second = Duration::from_secs(1);
                    self.faults.push((drained, Fault::DrainWorker(worker)));
                    self.faults.push((drained + second, Fault::CrashWorker(worker)));
                    self.faults
                        .push((drained + 2 * second, Fault::StartWorker(worker)));
                }
                return Ok(());
            }
            ("roster", "lag") => Fault::SetDiscoveryLag(parse_duration(words.word(4)?)?),
            ("roster", "stop") => Fault::StopDiscovery(true),
            ("roster", "go") => Fault::StopDiscovery(false),
            ("roster", "empty") => Fault::EmptyDiscovery(true),
            ("roster", "full") => Fault::EmptyDiscovery(false),
            ("store", "slow") => Fault::SlowStore(factor()?),
            ("store", "refuse") => Fault::RejectFetches(true),
            ("store", "serve") => Fault::RejectFetches(false),
            ("kill", "gateway") => Fault::KillGateway(index(4)?),
            ("start", "gateway") => Fault::StartGateway(index(4)?),
            ("pause", "gateway") => Fault::PauseGateway(index(4)?, parse_duration(words.word(5)?)?),
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
                let one_way = words.word(2)? == "unheard";
                Fault::Partition {
                    first: index(4)?,
                    last: index(5)?,
                    one_way,
                }
            }
            ("together", "gateways") => Fault::ClearDatagramFaults,
            ("lose", "datagrams") => Fault::LoseDatagrams(factor()?),
            ("double", "datagrams") => Fault::DuplicateDatagrams(factor()?),
            ("late", "datagrams") => Fault::DelayDatagrams(parse_duration(words.word(4)?)?),
            ("clock", "gateway") => {
                let ahead = match words.word(5)? {
                    "ahead" => true,
                    "behind" => false,
                    other => return Err(format!("unknown clock shift '{other}': expected ahead or behind")),
                };
                Fault::ShiftClock(index(4)?, parse_duration(words.word(6)?)?, ahead)
            }
            ("link", "gateway") if words.word(5)? == "roster" => match words.word(6)? {
                "stalled" => Fault::StallDiscovery(index(4)?, true),
                "well" => Fault::StallDiscovery(index(4)?, false),
                other => {
                    return Err(format!(
                        "unknown state '{other}' of the link to the roster: expected stalled or well"
                    ));
                }
            },
            ("link", "gateway") if words.word(5)? == "worker" => {
                let link = match words.word(7)? {
                    "well" => LinkState::Normal,
                    "stalled" => LinkState::Stalled,
                    "deaf" => LinkState::ResponsesStalled,
                    "cut" => LinkState::Closed,
                    other => {
                        return Err(format!(
                            "unknown link state '{other}': expected well, stalled, deaf or cut"
                        ));
                    }
                };
                Fault::SetLinkState(index(4)?, index(6)?, link)
            }
            ("copy", "gateway") => Fault::CopyState(index(4)?),
            ("spoil", "gateway") => Fault::DamageState(index(4)?, parse_state_damage(words.word(5)?)?),
            ("stop", "gateways") => Fault::StopGateways(index(4)?, index(5)?),
            ("power", "off") => match words.word(4)? {
                "all" => Fault::PowerOff { gateways: None },
                _ => Fault::PowerOff {
                    gateways: Some((index(5)?, index(6)?)),
                },
            },
            ("power", "on") => {
                let every = words.duration_option("every", Duration::ZERO)?;
                let power_on: fn(usize) -> Fault = match words.word(4)? {
                    "gateways" => Fault::PowerOnGateway,
                    "workers" => Fault::StartWorker,
                    "roster" => |_| Fault::StopDiscovery(false),
                    other => {
                        return Err(format!(
                            "cannot power on '{other}': expected gateways, workers or roster"
                        ));
                    }
                };
                let (first, last) = if words.word(4)? == "roster" {
                    (0, 0)
                } else {
                    (index(5)?, index(6)?)
                };
                self.faults.extend(
                    (first..=last)
                        .zip(0..)
                        .map(|(n, step)| (at + every * step, power_on(n))),
                );
                return Ok(());
            }
            (action, target) => return Err(format!("unknown fault '{action} {target}'")),
        };
        self.faults.push((at, fault));
        Ok(())
    }
}

fn parse_state_damage(text: &str) -> Result<StateDamage, String> {
    Ok(match text {
        "cut" => StateDamage::Truncated,
        "flip" => StateDamage::BitFlipped,
        "older" => StateDamage::OlderCopy,
        "other" => StateDamage::OtherGateway,
        "empty" => StateDamage::Deleted,
        "unreadable" => StateDamage::Unreadable,
        "full" => StateDamage::DiskFull,
        other => {
            return Err(format!(
                "unknown state damage '{other}': expected cut, flip, older, other, empty, unreadable or full"
            ));
        }
    })
}

fn parse_number(text: &str) -> Result<f64, String> {
    text.parse()
        .map_err(|_| format!("'{text}' is not a valid number"))
}

fn read_pattern(words: &Words) -> Result<Pattern, String> {
    let period = words
        .duration_option("period", Duration::from_secs(30))?
        .as_secs_f64();
    let peak_factor = words.number_option("most", 4.0)?;
    Ok(match words.option("pattern").unwrap_or("steady") {
        "steady" => Pattern::Steady,
        "daily" => Pattern::Daily { period, peak_factor },
        "weekly" => Pattern::Weekly { period, peak_factor },
        "bursty" => Pattern::Bursty {
            every: period,
            peak_factor,
        },
        "turning" => Pattern::RotatingFunctions { every: period },
        "timers" => Pattern::Timers {
            period,
            jitter: words.duration_option("jitter", Duration::ZERO)?.as_secs_f64(),
        },
        "scan" => Pattern::Scan,
        "terms-end" => Pattern::LatePeak { peak_factor },
        other => return Err(format!("unknown pattern '{other}'")),
    })
}

fn read_request_class(words: &Words) -> Result<RequestClass, String> {
    words.reject_unknown_options(&[
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
        name: words.word(1)?.to_owned(),
        idempotency: match words.word(2)? {
            "restartable" => Idempotency::Idempotent,
            "fingerprinted" => Idempotency::IdempotentWithKey,
            "run-once" => Idempotency::NonIdempotent,
            other => {
                return Err(format!(
                    "unknown effect '{other}': expected restartable, fingerprinted or run-once"
                ));
            }
        },
        deduplication_window: words.duration_option("window", ms(5000))?,
        rate: words.number_option("rate", 10.0)?,
        mean_work: words.duration_option("work", ms(5))?,
        time_limit: words.duration_option("limit", ms(3000))?,
        function_count: words.number_option("functions", 1)?,
        memory_mb: words.number_option("memory", 100.0)?,
        load_time: words.duration_option("load", ms(200))?,
        slots: words.number_option("lanes", 4)?,
        asynchronous: words.0.contains(&"deferred"),
        early_disconnect_share: words.number_option("hang-up", 0.0)?,
        latency_objective: words.duration_option("target", words.duration_option("limit", ms(3000))?)?,
        pattern: read_pattern(words)?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scenarios_are_read_and_errors_name_the_line() {
        let scenario = read("gateways 2\nworkers 4 cores=1\nworkload a run-once rate=5\nat 2s replace workers 0 1 every=3s\nat 1s lose worker 3 0.5").unwrap();
        assert_eq!(
            (
                scenario.gateways,
                scenario.cores,
                scenario.request_classes[0].idempotency
            ),
            (2, 1.0, Idempotency::NonIdempotent)
        );
        assert_eq!(
            scenario.faults[0],
            (Duration::from_secs(1), Fault::LoseResponses(3, 0.5))
        );
        assert_eq!(scenario.faults.len(), 7);
        for (text, line) in [
            ("workers x", "line 1"),
            ("\nat 2s tickle worker 1", "line 2"),
            ("workload a run-once rat=5", "line 1"),
            ("workload a restartable\nat 1s crash worker 9", "counted from 0"),
            ("workload a restartable\nat 1 crash worker 0", "line 2"),
        ] {
            let error = read(text).unwrap_err();
            assert!(error.contains(line), "{text}: {error}");
        }
    }
}
