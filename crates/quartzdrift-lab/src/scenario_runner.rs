//! Plays a script against gateways in processes of their own, and has its record audited.
use crate::actor::{self, RunningFake};
use crate::audit::{self, Guarantees, Violation};
use crate::clients::{self, CallCounts, Clients};
use crate::discovery::{self, FakeDiscovery};
use crate::record::{Observation, RecordLine, Recorder};
use crate::relay::Relay;
use crate::scenario::{Fault, Scenario, StateDamage};
use crate::store::{self, FakeStore};
use crate::switch::{LinkFaults, Switch, non_ephemeral_address};
use crate::traffic;
use crate::worker::{self, FakeWorker, Faults};
use crate::worker_model::{FunctionSpec, WorkerSpec};
use quartzdrift_discovery::DiscoveredEndpoint;
use quartzdrift_recovery::RecoveryView;
use quartzdrift_scheduler::interface::{EndpointState, Idempotency};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long open calls and asynchronous requests may take to end once no more come.
const SETTLE: Duration = Duration::from_secs(15);
/// The rule for drains that the gateways are given.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// How long it may take until all that loses power has lost it.
const ONE_MOMENT: Duration = Duration::from_millis(20);
/// How long a gateway may take to start or to stop.
const MAX_GATEWAY: Duration = Duration::from_secs(20);

/// How a day went.
pub struct ScenarioRun {
    pub lines: Vec<RecordLine>,
    pub guarantees: Guarantees,
    pub violations: Vec<Violation>,
    pub call_counts: CallCounts,
    /// Attempts that reached workers, those that ran without finding their copy loaded, and fetches.
    pub attempts: usize,
    pub waited_for_load: usize,
    pub fetches: usize,
    /// Of the fetches, those that the store turned away.
    pub refused_fetches: usize,
    /// How each gateway that was there at the end had come back.
    pub recovery_views: Vec<Option<RecoveryView>>,
}

/// How the gateways of a day are started.
#[derive(Clone, Debug)]
pub struct GatewayProgram {
    pub path: PathBuf,
    pub arguments: Vec<String>,
}

/// Reads the line in which a started process says where it listens.
pub fn read_listen_address(out: &mut impl BufRead) -> io::Result<SocketAddr> {
    let mut line = String::new();
    out.read_line(&mut line)?;
    let at = line
        .trim()
        .split_once("listens at http://")
        .and_then(|(_, at)| at.parse().ok());
    at.ok_or_else(|| io::Error::other(format!("it did not say where it listens: {line:?}")))
}

impl GatewayProgram {
    /// The lab's own program under one of its commands.
    pub fn lab_command(path: &Path, command: &str) -> GatewayProgram {
        GatewayProgram {
            path: path.to_owned(),
            arguments: vec![command.to_owned()],
        }
    }

    /// Whether it ends well when it is told to stop; the naive one is simply killed.
    fn stops(&self) -> bool {
        self.arguments.first().is_none_or(|command| command != "naive")
    }
}

struct Gateway {
    settings: PathBuf,
    state: PathBuf,
    child: Option<Child>,
    /// The lab's own options for its next starts, and whether nothing can be written then.
    clock: Vec<String>,
    boot: Option<String>,
    full: bool,
}

struct Stage<'a> {
    script: &'a Scenario,
    program: &'a GatewayProgram,
    recorder: Recorder,
    workers: Vec<RunningFake<worker::Command>>,
    faults: Vec<Faults>,
    discovery: RunningFake<discovery::Command>,
    store: RunningFake<store::Command>,
    gateways: Vec<Gateway>,
    switch: Option<Switch>,
    /// Links from gateways to workers, where the day has faults on some.
    relays: BTreeMap<(usize, usize), Relay>,
    marks: worker::SharedIdempotencyKeys,
    boots: u32,
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn listed(worker: &str, state: EndpointState, started: Option<Duration>) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        state,
        started,
        ..DiscoveredEndpoint::up(worker)
    }
}

/// What makes a gateway a member of the day's fleet, with its asynchronous requests on disk.
fn fleet_settings(me: usize, period: Duration, switch: &Switch, key: &Path) -> String {
    let seeds: Vec<String> = switch
        .advertise_addresses
        .iter()
        .map(|at| format!("\"{at}\""))
        .collect();
    format!(
        "[fleet]\nname = \"gateway-{me}\"\ncluster = \"day-{}\"\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\n\
         keys = [\"{}\"]\nperiod = \"{}ms\"\n[recovery]\nask = \"1s\"\nlongest = \"60s\"\n",
        // Gateways that outlived a day that was broken off speak to none of another.
        switch.advertise_addresses[0].port(),
        switch.listen_addresses[me],
        switch.advertise_addresses[me],
        seeds.join(", "),
        key.display(),
        period.as_millis(),
    )
}

/// Settings of one gateway of a day.
pub fn gateway_settings(
    script: &Scenario,
    me: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    state: &Path,
) -> String {
    let mut text = String::new();
    let ms = |span: Duration| format!("\"{}ms\"", span.as_millis());
    let state = state.display();
    // Writing into a string cannot fail.
    let _ = write!(
        text,
        "[gateway]\nlisten = [\"{listen}\"]\nstate = \"{state}\"\nseed = {me}\ndrain = \"5s\"\n\
         [log]\nfilter = \"warn\"\n\
         [scheduler]\nme = {me}\nschedulers = {}\n\
         [roster]\nurl = \"http://{discovery}/workers/{me}\"\nstream = true\nevery = \"2s\"\ntimeout = \"500ms\"\n\
         [allowed]\nmax_executions = 3\nconnect_timeout = \"250ms\"\n\
         [rules]\nanswer_slack = \"50ms\"\ndrain_grace = {}\n",
        script.gateways,
        ms(DRAIN_GRACE),
    );
    if script.fall_multiple > 0.0 {
        let _ = write!(
            text,
            "cold_from = {}\ncold_for = {}\nfall_multiple = {:.3}\nfall_window = {}\n",
            script.cold_from,
            ms(script.cold_for),
            script.fall_multiple,
            ms(script.fall_window),
        );
    }
    let _ = write!(
        text,
        "[copies]\ntells_warm = true\ntells_crowd = true\nkeep = {}\nmemory_mb_by_kind = [{:.1}]\n\
         orders = {}\n[reports]\nsource = \"answers\"\nfields = [{{ field = \"held\", metric = \"named_metrics.inflight\" }}, \
         {{ field = \"loads\", metric = \"named_metrics.loads\" }}]\n\
         [deferred]\ntries = 3\nwait = \"200ms\"\nlongest_wait = \"2s\"\ngreatest_age = \"60s\"\n\
         on_failure = {{ function = \"dead\" }}\n{}",
        ms(script.keep_loaded),
        script.memory_mb,
        script.forecasts,
        if script.gossip_period.is_some() {
            format!("store = \"{state}/deferred\"\n")
        } else {
            String::new()
        },
    );
    if script.forecasts {
        text.push_str("[forecasts]\nseasons = [\"60s\", \"120s\"]\n");
    }
    let first = script
        .request_classes
        .first()
        .map_or("", |request_class| request_class.name.as_str());
    for request_class in &script.request_classes {
        let idempotency = match request_class.idempotency {
            Idempotency::Idempotent => "restartable",
            Idempotency::IdempotentWithKey => "fingerprinted",
            Idempotency::NonIdempotent => "run-once",
        };
        let (name, limit) = (&request_class.name, ms(request_class.time_limit));
        let _ = write!(
            text,
            "[[workloads]]\nname = \"{name}\"\neffect = \"{idempotency}\"\ntime_limit = {limit}\n"
        );
        if request_class.idempotency == Idempotency::IdempotentWithKey {
            let _ = writeln!(
                text,
                "group = \"all\"\nwindow = {}",
                ms(request_class.deduplication_window)
            );
        }
        for n in 0..request_class.function_count {
            let (memory, slots, load) = (
                request_class.memory_mb,
                request_class.slots,
                ms(request_class.load_time),
            );
            let _ = write!(
                text,
                "[[functions]]\nname = \"{name}-{n}\"\nworkload = \"{name}\"\nmemory_mb = {memory:.1}\n\
                 lanes = {slots}\nload = {load}\n"
            );
        }
    }
    let _ = write!(text, "[[functions]]\nname = \"dead\"\nworkload = \"{first}\"\n");
    text
}

/// The kind of worker that a script tells of.
pub fn worker_machine(script: &Scenario) -> WorkerSpec {
    WorkerSpec {
        cores: script.cores,
        memory_mb: script.memory_mb,
        max_queue_length: script.max_waiting_calls,
        keep_alive: script.keep_loaded,
        slow_start_min_capacity: script.cold_from,
        slow_start_duration: script.cold_for,
        overload_multiple: script.fall_multiple,
        overload_window: script.fall_window,
        ..WorkerSpec::default()
    }
}

/// Its store.
pub fn store_config(script: &Scenario) -> store::Config {
    store::Config {
        capacity: script.store_capacity,
        max_concurrent_fetches: script.store_limit,
        outage_threshold: script.store_stops_at,
        outage_duration: Duration::from_secs(2),
    }
}

pub fn function_specs(script: &Scenario) -> BTreeMap<String, FunctionSpec> {
    let mut specs = BTreeMap::new();
    for request_class in &script.request_classes {
        for n in 0..request_class.function_count {
            let (memory_mb, slots, load, work) = (
                request_class.memory_mb,
                request_class.slots,
                request_class.load_time,
                request_class.mean_work,
            );
            specs.insert(
                format!("{}-{n}", request_class.name),
                FunctionSpec {
                    memory_mb,
                    slots,
                    load_time: load,
                    fetch_share: 0.6,
                    default_work: work,
                },
            );
        }
    }
    let light = FunctionSpec {
        memory_mb: 1.0,
        load_time: Duration::from_millis(1),
        ..FunctionSpec::default()
    };
    specs.insert("dead".to_owned(), light);
    specs
}

fn guarantees(script: &Scenario) -> Guarantees {
    let of = |idempotency| {
        script
            .request_classes
            .iter()
            .filter(move |w| w.idempotency == idempotency)
    };
    Guarantees {
        non_idempotent: of(Idempotency::NonIdempotent).map(|w| w.name.clone()).collect(),
        deduplication_windows_us: of(Idempotency::IdempotentWithKey)
            .map(|w| (w.name.clone(), w.deduplication_window.as_micros() as u64))
            .collect(),
        drain_grace_us: DRAIN_GRACE.as_micros() as u64,
        fall_multiple: script.fall_multiple,
        fall_window_us: script.fall_window.as_micros() as u64,
        load_quota_burst: 0.0,
        load_quota_share: 0.0,
        load_window_us: 0,
        asynchronous_completes: true,
        durable: script.gossip_period.is_some(),
    }
}

impl Stage<'_> {
    fn start_gateway(&mut self, n: usize) -> io::Result<()> {
        let Gateway {
            settings,
            clock,
            boot,
            full,
            ..
        } = &self.gateways[n];
        let full = *full;
        let mut arguments: Vec<std::ffi::OsString> = self.program.arguments.iter().map(Into::into).collect();
        arguments.push(settings.into());
        arguments.extend(clock.iter().map(Into::into));
        arguments.extend(boot.iter().flat_map(|name| ["--boot".into(), name.into()]));
        let mut command = match full {
            // No file may grow; the process hears of it as an error, not by a signal.
            true => {
                let mut shell = Command::new("sh");
                shell
                    .args(["-c", "trap '' XFSZ; ulimit -f 0; exec \"$@\"", "sh"])
                    .arg(&self.program.path);
                shell
            }
            false => Command::new(&self.program.path),
        };
        let mut child = command.args(&arguments).stdout(Stdio::piped()).spawn()?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("a gateway has no output"))?;
        let first = read_listen_address(&mut BufReader::new(out));
        self.gateways[n].child = Some(child);
        if let Err(e) = first {
            // Where nothing can be written it says so and ends: no promise could be kept.
            if full {
                self.gateways[n]
                    .child
                    .take()
                    .map(|mut child| child.wait())
                    .transpose()?;
                return Ok(());
            }
            return Err(io::Error::other(format!("gateway {n} did not start: {e}")));
        }
        self.recorder
            .record(Observation::GatewayStarted { gateway: n as u64 });
        Ok(())
    }

    fn set_faults(&mut self, n: usize, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults[n]);
        self.workers[n].send(worker::Command::SetFaults(self.faults[n].clone()));
    }

    fn list(&self, n: usize, state: EndpointState) {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = (state == EndpointState::Up).then_some(started);
        let worker = self.workers[n].address.to_string();
        self.discovery.send(discovery::Command::UpdateEndpoint(listed(
            &worker, state, started,
        )));
    }

    fn cause(&mut self, fault: &Fault) -> io::Result<()> {
        match *fault {
            Fault::Crash(n) => {
                self.workers[n].send(worker::Command::Crash);
                self.list(n, EndpointState::Gone);
            }
            Fault::Start(n) => {
                self.faults[n] = Faults::default();
                self.workers[n].send(worker::Command::Start);
                self.list(n, EndpointState::Up);
            }
            Fault::Drain(n) => {
                self.workers[n].send(worker::Command::Drain);
                self.list(n, EndpointState::Draining);
            }
            Fault::Silent(n) => self.set_faults(n, |faults| faults.silent = true),
            Fault::Hang(n) => self.set_faults(n, |faults| faults.hang = true),
            Fault::Well(n) => self.set_faults(n, |faults| *faults = Faults::default()),
            Fault::Errors(n, share) => self.set_faults(n, |faults| faults.error_share = share),
            Fault::Lose(n, share) => self.set_faults(n, |faults| faults.lost_response_share = share),
            Fault::Slow(n, by) => self.set_faults(n, |faults| faults.response_delay = by),
            Fault::Late(n, by) => self.set_faults(n, |faults| faults.report_delay = by),
            Fault::DiscoveryLag(lag) => self.discovery.send(discovery::Command::SetLag(lag)),
            Fault::DiscoveryStop(on) => self.discovery.send(discovery::Command::SetStopped(on)),
            Fault::DiscoveryEmpty(on) => self.discovery.send(discovery::Command::SetEmpty(on)),
            Fault::StoreSlow(times) => self.store.send(store::Command::SetSlowdown(times)),
            Fault::StoreRefuse(on) => self.store.send(store::Command::SetRejecting(on)),
            Fault::KillGateway(n) => {
                if let Some(mut child) = self.gateways[n].child.take() {
                    // The moment before counts: what comes back after it was sent before it.
                    self.recorder
                        .record(Observation::GatewayKilled { gateway: n as u64 });
                    child.kill()?;
                    child.wait()?;
                }
            }
            Fault::StartGateway(n) => {
                if self.gateways[n].child.is_none() {
                    self.start_gateway(n)?;
                }
            }
            Fault::PauseGateway(n, length) => {
                if let Some(child) = &self.gateways[n].child {
                    let id = child.id().to_string();
                    Command::new("kill").args(["-STOP", &id]).status()?;
                    std::thread::spawn(move || {
                        std::thread::sleep(length);
                        Command::new("kill").args(["-CONT", &id]).status()
                    });
                }
            }
            Fault::Apart { first, last, one_way } => self.switch()?.partition(first, last, one_way),
            Fault::Together => self
                .switch()?
                .update_faults(|links| *links = LinkFaults::default()),
            Fault::LoseDatagrams(share) => self.switch()?.update_faults(|links| links.loss_rate = share),
            Fault::DoubleDatagrams(share) => self
                .switch()?
                .update_faults(|links| links.duplication_rate = share),
            Fault::LateDatagrams(late) => self.switch()?.update_faults(|links| links.max_delay = late),
            Fault::StopGateways(first, last) => {
                for n in first..=last {
                    self.recorder
                        .record(Observation::GatewayKilled { gateway: n as u64 });
                }
                self.stop(first..=last)?;
            }
            Fault::PowerOff { gateways } => self.power_off(gateways)?,
            Fault::PowerOnGateway(n) => {
                self.gateways[n].boot = Some(format!("boot-{}", self.boots));
                if self.gateways[n].child.is_none() {
                    self.start_gateway(n)?;
                }
            }
            Fault::Clock(n, by, ahead) => {
                let option = if ahead { "--ahead" } else { "--behind" };
                self.gateways[n].clock = vec![option.to_owned(), format!("{}s", by.as_secs())];
            }
            Fault::Link(gateway, worker, link) => {
                if let Some(relay) = self.relays.get(&(gateway, worker)) {
                    relay.set_state(link);
                }
            }
            Fault::DiscoveryStall(n, on) => self.discovery.send(discovery::Command::SetStalled(n as u64, on)),
            Fault::CopyState(n) => {
                let state = &self.gateways[n].state;
                copy(state, &state.with_extension("copy"))?;
            }
            Fault::Spoil(n, how) => self.spoil(n, how)?,
        }
        Ok(())
    }

    fn switch(&self) -> io::Result<&Switch> {
        self.switch
            .as_ref()
            .ok_or_else(|| io::Error::other("links are there in a fleet only: write 'fleet 50ms'"))
    }

    /// All that is named ends in one moment.
    fn power_off(&mut self, gateways: Option<(usize, usize)>) -> io::Result<()> {
        let (first, last) = gateways.unwrap_or((0, self.gateways.len() - 1));
        let start = Instant::now();
        self.boots += 1;
        for n in first..=last {
            if let Some(child) = &mut self.gateways[n].child {
                self.recorder
                    .record(Observation::GatewayKilled { gateway: n as u64 });
                child.kill()?;
            }
        }
        if gateways.is_none() {
            self.workers
                .iter()
                .for_each(|worker| worker.send(worker::Command::Crash));
            self.discovery.send(discovery::Command::SetStopped(true));
            self.marks.lock().unwrap_or_else(PoisonError::into_inner).clear();
            self.recorder.record(Observation::WorkersLostPower);
        }
        let gap = start.elapsed();
        for n in first..=last {
            if let Some(mut child) = self.gateways[n].child.take() {
                child.wait()?;
            }
        }
        if gateways.is_none() {
            (0..self.workers.len()).for_each(|n| self.list(n, EndpointState::Gone));
        }
        match gap <= ONE_MOMENT {
            true => Ok(()),
            false => Err(io::Error::other(format!(
                "power went in {gap:?}, not in one moment"
            ))),
        }
    }

    fn spoil(&mut self, n: usize, how: StateDamage) -> io::Result<()> {
        let state = self.gateways[n].state.clone();
        let mark = state.join(quartzdrift::snapshots::CHECKPOINT);
        match how {
            StateDamage::Cut => {
                let bytes = std::fs::read(&mark)?;
                std::fs::write(&mark, &bytes[..bytes.len() / 2])?;
            }
            StateDamage::Flip => {
                let mut bytes = std::fs::read(&mark)?;
                let at = bytes.len() / 3;
                bytes[at] ^= 4;
                std::fs::write(&mark, bytes)?;
            }
            StateDamage::Older | StateDamage::Other => {
                if how == StateDamage::Older {
                    self.recorder
                        .record(Observation::GatewayDiskLost { gateway: n as u64 });
                }
                let from = match how {
                    StateDamage::Older => state.with_extension("copy"),
                    _ => self.gateways[(n + 1) % self.gateways.len()].state.clone(),
                };
                // The store of another member is refused at the start, which is a test of its own.
                let asynchronous = state.join("deferred");
                let own = state.with_extension("own");
                if how == StateDamage::Other {
                    std::fs::rename(&asynchronous, &own)?;
                }
                std::fs::remove_dir_all(&state)?;
                copy(&from, &state)?;
                if how == StateDamage::Other {
                    std::fs::remove_dir_all(&asynchronous)?;
                    std::fs::rename(&own, &asynchronous)?;
                }
            }
            StateDamage::Empty => {
                self.recorder
                    .record(Observation::GatewayDiskLost { gateway: n as u64 });
                std::fs::remove_dir_all(&state)?;
            }
            StateDamage::Unreadable => {
                std::fs::remove_file(&mark)?;
                std::fs::create_dir(&mark)?;
            }
            StateDamage::Full => self.gateways[n].full = true,
        }
        Ok(())
    }

    /// Stops the gateways as an operator does. `Err` names one that does not end by itself.
    fn stop(&mut self, which: std::ops::RangeInclusive<usize>) -> io::Result<()> {
        for gateway in &self.gateways[which.clone()] {
            if let Some(child) = &gateway.child {
                let id = child.id().to_string();
                Command::new("kill").args(["-TERM", &id]).status()?;
            }
        }
        let until = Instant::now() + MAX_GATEWAY;
        for n in which {
            let gateway = &mut self.gateways[n];
            let Some(mut child) = gateway.child.take() else {
                continue;
            };
            loop {
                if let Some(status) = child.try_wait()? {
                    if !status.success() && self.program.stops() {
                        return Err(io::Error::other(format!("gateway {n} ended with {status}")));
                    }
                    break;
                }
                if Instant::now() > until {
                    child.kill()?;
                    return Err(io::Error::other(format!("gateway {n} did not stop by itself")));
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(())
    }
}

impl Drop for Stage<'_> {
    /// No gateway outlives its day, however that ends.
    fn drop(&mut self) {
        for child in self
            .gateways
            .iter_mut()
            .filter_map(|gateway| gateway.child.as_mut())
        {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn copy(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let to = to.join(entry.file_name());
        match entry.file_type()?.is_dir() {
            true => copy(&entry.path(), &to)?,
            // It may be replaced at this very moment.
            false => drop(std::fs::copy(entry.path(), to)),
        }
    }
    Ok(())
}

/// Plays the day. Seeds draw its traffic; times on sockets are never quite the same.
pub fn run(script: &Scenario, program: &GatewayProgram, seed: u64) -> io::Result<ScenarioRun> {
    let folder = tempfile::tempdir()?;
    let recorder = Recorder::default();
    let store_config = store_config(script);
    let store = actor::spawn(any(), move |handle, _| FakeStore::new(handle, store_config))?;
    let marks: worker::SharedIdempotencyKeys = Arc::default();
    let window = script
        .request_classes
        .iter()
        .map(|w| w.deduplication_window)
        .max()
        .unwrap_or_default();
    let mut workers = Vec::new();
    for n in 0..script.workers {
        let config = worker::Config {
            machine: worker_machine(script),
            specs: function_specs(script),
            store: Some(store.address),
            idempotency_keys: Some(marks.clone()),
            deduplication_window: window,
            recorder: Some(recorder.clone()),
            seed: seed ^ n as u64,
            ..worker::Config::default()
        };
        workers.push(actor::spawn(any(), move |handle, address| {
            FakeWorker::new(handle, address, config)
        })?);
    }
    let first: Vec<DiscoveredEndpoint> = workers
        .iter()
        .map(|w| listed(&w.address.to_string(), EndpointState::Up, None))
        .collect();
    let (lag, of) = (script.discovery_lag, recorder.clone());
    let discovery = actor::spawn(any(), move |handle, _| {
        FakeDiscovery::new(handle, first, lag, Some(of))
    })?;
    let mut relays = BTreeMap::new();
    if script
        .faults
        .iter()
        .any(|(_, fault)| matches!(fault, Fault::Link(..)))
    {
        let pairs = (0..script.gateways).flat_map(|g| (0..workers.len()).map(move |w| (g, w)));
        for (g, w) in pairs {
            relays.insert((g, w), Relay::start(workers[w].address)?);
        }
        let told = |(&(g, w), relay): (&(usize, usize), &Relay)| {
            (
                (g as u64, workers[w].address.to_string()),
                relay.address.to_string(),
            )
        };
        discovery.send(discovery::Command::SetRelays(relays.iter().map(told).collect()));
    }
    let switch = script
        .gossip_period
        .map(|_| Switch::start(script.gateways, seed))
        .transpose()?;
    let key = folder.path().join("key");
    std::fs::write(&key, "00112233445566778899aabbccddeeff")?;
    let mut gateways = Vec::new();
    let mut addresses = Vec::new();
    for n in 0..script.gateways {
        let listen = non_ephemeral_address()?;
        let state = folder.path().join(format!("gateway-{n}"));
        let file = folder.path().join(format!("gateway-{n}.toml"));
        let mut text = gateway_settings(script, n, listen, discovery.address, &state);
        if let (Some(period), Some(switch)) = (script.gossip_period, &switch) {
            text.push_str(&fleet_settings(n, period, switch, &key));
        }
        std::fs::write(&file, text)?;
        let (clock, boot, full) = (Vec::new(), None, false);
        gateways.push(Gateway {
            settings: file,
            state,
            child: None,
            clock,
            boot,
            full,
        });
        addresses.push(listen);
    }
    let faults = vec![Faults::default(); script.workers];
    let mut stage = Stage {
        script,
        program,
        recorder: recorder.clone(),
        workers,
        faults,
        discovery,
        store,
        gateways,
        switch,
        relays,
        marks,
        boots: 0,
    };
    for n in 0..stage.script.gateways {
        stage.start_gateway(n)?;
    }
    let (open, tally) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(Mutex::new(CallCounts::default())),
    );
    let of = recorder.clone();
    let (open_too, tally_too) = (open.clone(), tally.clone());
    let arrivals = traffic::generate_arrivals(script, seed);
    let (max_retries, retry_wait_factor) = (script.max_retries, script.retry_wait_factor);
    let plan = clients::Plan {
        request_classes: script.request_classes.clone(),
        arrivals,
        seed,
        max_retries,
        retry_wait_factor,
    };
    let clients = actor::spawn(any(), move |handle, _| {
        Clients::new(handle, of, addresses, plan, open_too, tally_too)
    })?;
    let start = Instant::now();
    for (at, fault) in &script.faults {
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        stage.cause(fault)?;
    }
    std::thread::sleep(script.length.saturating_sub(start.elapsed()));
    clients.send(clients::Command::StopArrivals);
    let until = Instant::now() + SETTLE;
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    let guarantees = guarantees(script);
    // What was taken and waits is run before the gateways stop, or is lost.
    while script.gossip_period.is_some() && Instant::now() < until {
        let lost = |broken: &Violation| broken.rule == audit::Rule::RequestLost;
        if !audit::audit(&recorder.lines(), &guarantees).iter().any(lost) {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let view = |gateway: &Gateway| -> Option<RecoveryView> {
        let bytes =
            quartzdrift::snapshots::read(&gateway.state, quartzdrift::snapshots::RECOVERY_VIEW).ok()??;
        serde_json::from_slice(&bytes).ok()
    };
    let recovery_views = stage
        .gateways
        .iter()
        .map(|gateway| gateway.child.as_ref().and(view(gateway)))
        .collect();
    let stopped = stage.stop(0..=script.gateways - 1);
    drop(clients);
    stopped?;
    let lines = recorder.lines();
    let violations = audit::audit(&lines, &guarantees);
    let count = |of: fn(&Observation) -> bool| lines.iter().filter(|line| of(&line.seen)).count();
    let attempts = count(|seen| matches!(seen, Observation::AttemptReceived { .. }));
    let waited_for_load = count(|seen| matches!(seen, Observation::AttemptExecuted { warm: false, .. }));
    let fetches = count(|seen| matches!(seen, Observation::FetchRequested { .. }));
    let refused_fetches = count(|seen| matches!(seen, Observation::FetchRefused { .. }));
    let call_counts = tally.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(ScenarioRun {
        lines,
        guarantees,
        violations,
        call_counts,
        attempts,
        waited_for_load,
        fetches,
        refused_fetches,
        recovery_views,
    })
}

/// Writes a day's terms and record, one JSON object a line.
pub fn save_record(day: &ScenarioRun, path: &Path) -> io::Result<()> {
    let mut out = io::BufWriter::new(std::fs::File::create(path)?);
    writeln!(out, "{}", serde_json::to_string(&day.guarantees)?)?;
    for line in &day.lines {
        writeln!(out, "{}", serde_json::to_string(line)?)?;
    }
    out.flush()
}

/// Reads what [`save_record`] wrote.
pub fn load_record(path: &Path) -> io::Result<(Guarantees, Vec<RecordLine>)> {
    let text = std::fs::read_to_string(path)?;
    let mut lines = text.lines();
    let guarantees = serde_json::from_str(lines.next().unwrap_or(""))?;
    let lines = lines
        .map(serde_json::from_str)
        .collect::<Result<Vec<RecordLine>, _>>()?;
    Ok((guarantees, lines))
}
