//! Runs a scenario against gateway processes, with fakes for everything around them, and audits the record.
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

/// Longest wait for open calls and asynchronous requests after the last arrival.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Drain grace in the settings of the gateways.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Longest time between the first and the last kill of a power loss, so that they count as simultaneous.
const POWER_OFF_TOLERANCE: Duration = Duration::from_millis(20);
/// Longest time that gateways may take to stop after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The record of a scenario run, its violations and totals.
pub struct ScenarioRun {
    pub lines: Vec<RecordLine>,
    pub guarantees: Guarantees,
    pub violations: Vec<Violation>,
    pub call_counts: CallCounts,
    /// Attempts that reached workers.
    pub attempts: usize,
    /// Attempts that waited until their function was loaded.
    pub waited_for_load: usize,
    /// Fetches of functions from the store, including the rejected ones.
    pub fetches: usize,
    /// Fetches that the store rejected.
    pub rejected_fetches: usize,
    /// Recovery state of each gateway at the end; `None` for a gateway that was down or had stored no state.
    pub recovery_views: Vec<Option<RecoveryView>>,
}

/// The program that is started as a gateway, with the arguments that precede the settings file.
#[derive(Clone, Debug)]
pub struct GatewayProgram {
    pub path: PathBuf,
    pub arguments: Vec<String>,
}

/// Reads the first line of a started process's output, which announces its listen address.
pub fn read_listen_address(out: &mut impl BufRead) -> io::Result<SocketAddr> {
    let mut line = String::new();
    out.read_line(&mut line)?;
    let address = line
        .trim()
        .split_once("listens at http://")
        .and_then(|(_, address)| address.parse().ok());
    address
        .ok_or_else(|| io::Error::other(format!("no listen address in the first line of output: {line:?}")))
}

impl GatewayProgram {
    /// A subcommand of the `quartzdrift-lab` binary at `path`.
    pub fn lab_command(path: &Path, command: &str) -> GatewayProgram {
        GatewayProgram {
            path: path.to_owned(),
            arguments: vec![command.to_owned()],
        }
    }

    /// Whether the program exits with success after SIGTERM. The naive gateway does not handle the signal.
    fn exits_cleanly(&self) -> bool {
        self.arguments.first().is_none_or(|command| command != "naive")
    }
}

/// A gateway, its process while it runs, and the options of its next start.
struct Gateway {
    settings_file: PathBuf,
    state_folder: PathBuf,
    child: Option<Child>,
    /// Options that shift the wall clock from the next start on.
    clock_options: Vec<String>,
    /// Boot id from the next start on.
    boot_id: Option<String>,
    /// Whether the process can write no file from the next start on.
    disk_full: bool,
}

/// The gateway processes and the fakes of a running scenario.
struct Runner<'a> {
    scenario: &'a Scenario,
    program: &'a GatewayProgram,
    recorder: Recorder,
    workers: Vec<RunningFake<worker::Command>>,
    /// Current faults of each worker.
    faults: Vec<Faults>,
    discovery: RunningFake<discovery::Command>,
    store: RunningFake<store::Command>,
    gateways: Vec<Gateway>,
    /// Carries the datagrams of the membership, if the gateways form one.
    switch: Option<Switch>,
    /// Links from gateways to workers, present if the scenario has faults of links.
    relays: BTreeMap<(usize, usize), Relay>,
    /// Idempotency keys that the workers remember.
    idempotency_keys: worker::SharedIdempotencyKeys,
    /// Number of power losses so far; the boot ids contain it.
    power_losses: u32,
}

/// Any free port on loopback.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn endpoint(worker: &str, state: EndpointState, started: Option<Duration>) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        state,
        started,
        ..DiscoveredEndpoint::up(worker)
    }
}

/// Settings that make a gateway a member of the scenario's cluster.
fn membership_settings(gateway: usize, period: Duration, switch: &Switch, key_file: &Path) -> String {
    let seeds: Vec<String> = switch
        .advertise_addresses
        .iter()
        .map(|at| format!("\"{at}\""))
        .collect();
    format!(
        "[fleet]\nname = \"gateway-{gateway}\"\ncluster = \"day-{}\"\nlisten = \"{}\"\n\
         advertise = \"{}\"\nseeds = [{}]\n\
         keys = [\"{}\"]\nperiod = \"{}ms\"\n[recovery]\nask = \"1s\"\nlongest = \"60s\"\n",
        // A cluster name of its own keeps gateways that are left over from an aborted run apart.
        switch.advertise_addresses[0].port(),
        switch.listen_addresses[gateway],
        switch.advertise_addresses[gateway],
        seeds.join(", "),
        key_file.display(),
        period.as_millis(),
    )
}

/// The settings file of a gateway, as TOML.
pub fn gateway_settings(
    scenario: &Scenario,
    gateway: usize,
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
        "[gateway]\nlisten = [\"{listen}\"]\nstate = \"{state}\"\nseed = {gateway}\ndrain = \"5s\"\n\
         [log]\nfilter = \"warn\"\n\
         [scheduler]\nme = {gateway}\nschedulers = {}\n\
         [roster]\nurl = \"http://{discovery}/workers/{gateway}\"\nstream = true\nevery = \"2s\"\n\
         timeout = \"500ms\"\n\
         [allowed]\nmax_executions = 3\nconnect_timeout = \"250ms\"\n\
         [rules]\nanswer_slack = \"50ms\"\ndrain_grace = {}\n",
        scenario.gateways,
        ms(DRAIN_GRACE),
    );
    if scenario.overload_multiple > 0.0 {
        let _ = write!(
            text,
            "cold_from = {}\ncold_for = {}\nfall_multiple = {:.3}\nfall_window = {}\n",
            scenario.slow_start_min_capacity,
            ms(scenario.slow_start_duration),
            scenario.overload_multiple,
            ms(scenario.overload_window),
        );
    }
    let _ = write!(
        text,
        "[copies]\ntells_warm = true\ntells_crowd = true\nkeep = {}\nmemory_mb_by_kind = [{:.1}]\n\
         orders = {}\n[reports]\nsource = \"answers\"\n\
         fields = [{{ field = \"held\", metric = \"named_metrics.inflight\" }}, \
         {{ field = \"loads\", metric = \"named_metrics.loads\" }}]\n\
         [deferred]\ntries = 3\nwait = \"200ms\"\nlongest_wait = \"2s\"\ngreatest_age = \"60s\"\n\
         on_failure = {{ function = \"dead\" }}\n{}",
        ms(scenario.keep_alive),
        scenario.memory_mb,
        scenario.forecasts,
        if scenario.gossip_period.is_some() {
            format!("store = \"{state}/deferred\"\n")
        } else {
            String::new()
        },
    );
    if scenario.forecasts {
        text.push_str("[forecasts]\nseasons = [\"60s\", \"120s\"]\n");
    }
    let first = scenario
        .request_classes
        .first()
        .map_or("", |request_class| request_class.name.as_str());
    for request_class in &scenario.request_classes {
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

/// The model of the scenario's workers.
pub fn worker_spec(scenario: &Scenario) -> WorkerSpec {
    WorkerSpec {
        cores: scenario.cores,
        memory_mb: scenario.memory_mb,
        max_queue_length: scenario.max_queue_length,
        keep_alive: scenario.keep_alive,
        slow_start_min_capacity: scenario.slow_start_min_capacity,
        slow_start_duration: scenario.slow_start_duration,
        overload_multiple: scenario.overload_multiple,
        overload_window: scenario.overload_window,
        ..WorkerSpec::default()
    }
}

/// The configuration of the scenario's store.
pub fn store_config(scenario: &Scenario) -> store::Config {
    store::Config {
        capacity: scenario.store_capacity,
        max_concurrent_fetches: scenario.store_max_concurrent_fetches,
        outage_threshold: scenario.store_outage_threshold,
        outage_duration: Duration::from_secs(2),
    }
}

/// Specs of the scenario's functions for its workers, by function name.
pub fn function_specs(scenario: &Scenario) -> BTreeMap<String, FunctionSpec> {
    let mut specs = BTreeMap::new();
    for request_class in &scenario.request_classes {
        for n in 0..request_class.function_count {
            let (memory_mb, slots, load_time, default_work) = (
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
                    load_time,
                    fetch_share: 0.6,
                    default_work,
                },
            );
        }
    }
    let failure_destination = FunctionSpec {
        memory_mb: 1.0,
        load_time: Duration::from_millis(1),
        ..FunctionSpec::default()
    };
    specs.insert("dead".to_owned(), failure_destination);
    specs
}

fn guarantees(scenario: &Scenario) -> Guarantees {
    let classes_with = |idempotency| {
        scenario
            .request_classes
            .iter()
            .filter(move |class| class.idempotency == idempotency)
    };
    Guarantees {
        non_idempotent: classes_with(Idempotency::NonIdempotent)
            .map(|class| class.name.clone())
            .collect(),
        deduplication_windows_us: classes_with(Idempotency::IdempotentWithKey)
            .map(|class| (class.name.clone(), class.deduplication_window.as_micros() as u64))
            .collect(),
        drain_grace_us: DRAIN_GRACE.as_micros() as u64,
        overload_multiple: scenario.overload_multiple,
        overload_window_us: scenario.overload_window.as_micros() as u64,
        load_quota_burst: 0.0,
        load_quota_share: 0.0,
        load_window_us: 0,
        asynchronous_completes: true,
        durable: scenario.gossip_period.is_some(),
    }
}

impl Runner<'_> {
    fn start_gateway(&mut self, n: usize) -> io::Result<()> {
        let Gateway {
            settings_file,
            clock_options,
            boot_id,
            disk_full,
            ..
        } = &self.gateways[n];
        let disk_full = *disk_full;
        let mut arguments: Vec<std::ffi::OsString> = self.program.arguments.iter().map(Into::into).collect();
        arguments.push(settings_file.into());
        arguments.extend(clock_options.iter().map(Into::into));
        arguments.extend(boot_id.iter().flat_map(|name| ["--boot".into(), name.into()]));
        let mut command = match disk_full {
            // No file may grow. With SIGXFSZ ignored, a write fails with an error instead of ending the
            // process.
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
            .ok_or_else(|| io::Error::other(format!("standard output of gateway {n} is not piped")))?;
        let address = read_listen_address(&mut BufReader::new(out));
        self.gateways[n].child = Some(child);
        if let Err(e) = address {
            // A gateway that cannot write its state reports the error and exits.
            if disk_full {
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

    /// Sends the state of worker `n` to discovery.
    fn update_endpoint(&self, n: usize, state: EndpointState) {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = (state == EndpointState::Up).then_some(started);
        let worker = self.workers[n].address.to_string();
        self.discovery.send(discovery::Command::UpdateEndpoint(endpoint(
            &worker, state, started,
        )));
    }

    fn inject(&mut self, fault: &Fault) -> io::Result<()> {
        match *fault {
            Fault::CrashWorker(n) => {
                self.workers[n].send(worker::Command::Crash);
                self.update_endpoint(n, EndpointState::Gone);
            }
            Fault::StartWorker(n) => {
                self.faults[n] = Faults::default();
                self.workers[n].send(worker::Command::Start);
                self.update_endpoint(n, EndpointState::Up);
            }
            Fault::DrainWorker(n) => {
                self.workers[n].send(worker::Command::Drain);
                self.update_endpoint(n, EndpointState::Draining);
            }
            Fault::SilenceWorker(n) => self.set_faults(n, |faults| faults.silent = true),
            Fault::HangWorker(n) => self.set_faults(n, |faults| faults.hang = true),
            Fault::ClearWorkerFaults(n) => self.set_faults(n, |faults| *faults = Faults::default()),
            Fault::FailCalls(n, share) => self.set_faults(n, |faults| faults.error_share = share),
            Fault::LoseResponses(n, share) => self.set_faults(n, |faults| faults.lost_response_share = share),
            Fault::DelayResponses(n, delay) => self.set_faults(n, |faults| faults.response_delay = delay),
            Fault::DelayReports(n, delay) => self.set_faults(n, |faults| faults.report_delay = delay),
            Fault::SetDiscoveryLag(lag) => self.discovery.send(discovery::Command::SetLag(lag)),
            Fault::StopDiscovery(on) => self.discovery.send(discovery::Command::SetStopped(on)),
            Fault::EmptyDiscovery(on) => self.discovery.send(discovery::Command::SetEmpty(on)),
            Fault::SlowStore(factor) => self.store.send(store::Command::SetSlowdown(factor)),
            Fault::RejectFetches(on) => self.store.send(store::Command::SetRejecting(on)),
            Fault::KillGateway(n) => {
                if let Some(mut child) = self.gateways[n].child.take() {
                    // Recorded before the kill: responses that arrive after this line were sent before the
                    // kill.
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
            Fault::Partition { first, last, one_way } => self.switch()?.partition(first, last, one_way),
            Fault::ClearDatagramFaults => self
                .switch()?
                .update_faults(|links| *links = LinkFaults::default()),
            Fault::LoseDatagrams(share) => self.switch()?.update_faults(|links| links.loss_rate = share),
            Fault::DuplicateDatagrams(share) => self
                .switch()?
                .update_faults(|links| links.duplication_rate = share),
            Fault::DelayDatagrams(delay) => self.switch()?.update_faults(|links| links.max_delay = delay),
            Fault::StopGateways(first, last) => {
                for n in first..=last {
                    self.recorder
                        .record(Observation::GatewayKilled { gateway: n as u64 });
                }
                self.stop_gateways(first..=last)?;
            }
            Fault::PowerOff { gateways } => self.power_off(gateways)?,
            Fault::PowerOnGateway(n) => {
                self.gateways[n].boot_id = Some(format!("boot-{}", self.power_losses));
                if self.gateways[n].child.is_none() {
                    self.start_gateway(n)?;
                }
            }
            Fault::ShiftClock(n, offset, ahead) => {
                let option = if ahead { "--ahead" } else { "--behind" };
                self.gateways[n].clock_options = vec![option.to_owned(), format!("{}s", offset.as_secs())];
            }
            Fault::SetLinkState(gateway, worker, link) => {
                if let Some(relay) = self.relays.get(&(gateway, worker)) {
                    relay.set_state(link);
                }
            }
            Fault::StallDiscovery(n, on) => self.discovery.send(discovery::Command::SetStalled(n as u64, on)),
            Fault::CopyState(n) => {
                let state = &self.gateways[n].state_folder;
                copy_folder(state, &state.with_extension("copy"))?;
            }
            Fault::DamageState(n, damage) => self.damage_state(n, damage)?,
        }
        Ok(())
    }

    fn switch(&self) -> io::Result<&Switch> {
        self.switch.as_ref().ok_or_else(|| {
            io::Error::other("datagram faults need a membership: add 'fleet 50ms' to the scenario")
        })
    }

    /// Cuts the power of a range of gateways, or, with `None`, of all gateways, the workers and discovery.
    /// Fails if the kills take longer than [`POWER_OFF_TOLERANCE`].
    fn power_off(&mut self, gateways: Option<(usize, usize)>) -> io::Result<()> {
        let (first, last) = gateways.unwrap_or((0, self.gateways.len() - 1));
        let start = Instant::now();
        self.power_losses += 1;
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
            self.idempotency_keys
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clear();
            self.recorder.record(Observation::WorkersLostPower);
        }
        let elapsed = start.elapsed();
        for n in first..=last {
            if let Some(mut child) = self.gateways[n].child.take() {
                child.wait()?;
            }
        }
        if gateways.is_none() {
            (0..self.workers.len()).for_each(|n| self.update_endpoint(n, EndpointState::Gone));
        }
        match elapsed <= POWER_OFF_TOLERANCE {
            true => Ok(()),
            false => Err(io::Error::other(format!(
                "power off took {elapsed:?}, over the limit of {POWER_OFF_TOLERANCE:?}"
            ))),
        }
    }

    fn damage_state(&mut self, n: usize, damage: StateDamage) -> io::Result<()> {
        let state = self.gateways[n].state_folder.clone();
        let checkpoint = state.join(quartzdrift::snapshots::CHECKPOINT);
        match damage {
            StateDamage::Truncated => {
                let bytes = std::fs::read(&checkpoint)?;
                std::fs::write(&checkpoint, &bytes[..bytes.len() / 2])?;
            }
            StateDamage::BitFlipped => {
                let mut bytes = std::fs::read(&checkpoint)?;
                let at = bytes.len() / 3;
                bytes[at] ^= 4;
                std::fs::write(&checkpoint, bytes)?;
            }
            StateDamage::OlderCopy | StateDamage::OtherGateway => {
                if damage == StateDamage::OlderCopy {
                    self.recorder
                        .record(Observation::GatewayDiskLost { gateway: n as u64 });
                }
                let source = match damage {
                    StateDamage::OlderCopy => state.with_extension("copy"),
                    _ => self.gateways[(n + 1) % self.gateways.len()].state_folder.clone(),
                };
                // A gateway rejects another member's store of asynchronous requests at its start, which
                // another test covers: the gateway keeps its own store here.
                let request_store = state.join("deferred");
                let kept_store = state.with_extension("own");
                if damage == StateDamage::OtherGateway {
                    std::fs::rename(&request_store, &kept_store)?;
                }
                std::fs::remove_dir_all(&state)?;
                copy_folder(&source, &state)?;
                if damage == StateDamage::OtherGateway {
                    std::fs::remove_dir_all(&request_store)?;
                    std::fs::rename(&kept_store, &request_store)?;
                }
            }
            StateDamage::Deleted => {
                self.recorder
                    .record(Observation::GatewayDiskLost { gateway: n as u64 });
                std::fs::remove_dir_all(&state)?;
            }
            StateDamage::Unreadable => {
                std::fs::remove_file(&checkpoint)?;
                std::fs::create_dir(&checkpoint)?;
            }
            StateDamage::DiskFull => self.gateways[n].disk_full = true,
        }
        Ok(())
    }

    /// Stops gateways by SIGTERM and waits for them. The error names a gateway that fails or does not exit in
    /// time.
    fn stop_gateways(&mut self, range: std::ops::RangeInclusive<usize>) -> io::Result<()> {
        for gateway in &self.gateways[range.clone()] {
            if let Some(child) = &gateway.child {
                let id = child.id().to_string();
                Command::new("kill").args(["-TERM", &id]).status()?;
            }
        }
        let deadline = Instant::now() + STOP_TIMEOUT;
        for n in range {
            let gateway = &mut self.gateways[n];
            let Some(mut child) = gateway.child.take() else {
                continue;
            };
            loop {
                if let Some(status) = child.try_wait()? {
                    if !status.success() && self.program.exits_cleanly() {
                        return Err(io::Error::other(format!(
                            "gateway {n} exited with {status} after SIGTERM"
                        )));
                    }
                    break;
                }
                if Instant::now() > deadline {
                    child.kill()?;
                    return Err(io::Error::other(format!(
                        "gateway {n} did not stop within {STOP_TIMEOUT:?} of SIGTERM"
                    )));
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(())
    }
}

impl Drop for Runner<'_> {
    /// Kills the gateways that still run, also after an error.
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

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let to = to.join(entry.file_name());
        match entry.file_type()?.is_dir() {
            true => copy_folder(&entry.path(), &to)?,
            // The running gateway may replace the file meanwhile: a failed copy is ignored.
            false => drop(std::fs::copy(entry.path(), to)),
        }
    }
    Ok(())
}

/// Runs the scenario. The seed determines the traffic, but not the timing of the processes.
pub fn run(scenario: &Scenario, program: &GatewayProgram, seed: u64) -> io::Result<ScenarioRun> {
    let folder = tempfile::tempdir()?;
    let recorder = Recorder::default();
    let store_config = store_config(scenario);
    let store = actor::spawn(any_port(), move |handle, _| FakeStore::new(handle, store_config))?;
    let idempotency_keys: worker::SharedIdempotencyKeys = Arc::default();
    let deduplication_window = scenario
        .request_classes
        .iter()
        .map(|class| class.deduplication_window)
        .max()
        .unwrap_or_default();
    let mut workers = Vec::new();
    for n in 0..scenario.workers {
        let config = worker::Config {
            spec: worker_spec(scenario),
            specs: function_specs(scenario),
            store: Some(store.address),
            idempotency_keys: Some(idempotency_keys.clone()),
            deduplication_window,
            recorder: Some(recorder.clone()),
            seed: seed ^ n as u64,
            ..worker::Config::default()
        };
        workers.push(actor::spawn(any_port(), move |handle, address| {
            FakeWorker::new(handle, address, config)
        })?);
    }
    let endpoints: Vec<DiscoveredEndpoint> = workers
        .iter()
        .map(|worker| endpoint(&worker.address.to_string(), EndpointState::Up, None))
        .collect();
    let (lag, discovery_recorder) = (scenario.discovery_lag, recorder.clone());
    let discovery = actor::spawn(any_port(), move |handle, _| {
        FakeDiscovery::new(handle, endpoints, lag, Some(discovery_recorder))
    })?;
    let mut relays = BTreeMap::new();
    if scenario
        .faults
        .iter()
        .any(|(_, fault)| matches!(fault, Fault::SetLinkState(..)))
    {
        let links = (0..scenario.gateways)
            .flat_map(|gateway| (0..workers.len()).map(move |worker| (gateway, worker)));
        for (gateway, worker) in links {
            relays.insert((gateway, worker), Relay::start(workers[worker].address)?);
        }
        let relay_address = |(&(gateway, worker), relay): (&(usize, usize), &Relay)| {
            (
                (gateway as u64, workers[worker].address.to_string()),
                relay.address.to_string(),
            )
        };
        discovery.send(discovery::Command::SetRelays(
            relays.iter().map(relay_address).collect(),
        ));
    }
    let switch = scenario
        .gossip_period
        .map(|_| Switch::start(scenario.gateways, seed))
        .transpose()?;
    let key_file = folder.path().join("key");
    std::fs::write(&key_file, "00112233445566778899aabbccddeeff")?;
    let mut gateways = Vec::new();
    let mut addresses = Vec::new();
    for n in 0..scenario.gateways {
        let listen = non_ephemeral_address()?;
        let state_folder = folder.path().join(format!("gateway-{n}"));
        let settings_file = folder.path().join(format!("gateway-{n}.toml"));
        let mut text = gateway_settings(scenario, n, listen, discovery.address, &state_folder);
        if let (Some(period), Some(switch)) = (scenario.gossip_period, &switch) {
            text.push_str(&membership_settings(n, period, switch, &key_file));
        }
        std::fs::write(&settings_file, text)?;
        let (clock_options, boot_id, disk_full) = (Vec::new(), None, false);
        gateways.push(Gateway {
            settings_file,
            state_folder,
            child: None,
            clock_options,
            boot_id,
            disk_full,
        });
        addresses.push(listen);
    }
    let faults = vec![Faults::default(); scenario.workers];
    let mut runner = Runner {
        scenario,
        program,
        recorder: recorder.clone(),
        workers,
        faults,
        discovery,
        store,
        gateways,
        switch,
        relays,
        idempotency_keys,
        power_losses: 0,
    };
    for n in 0..runner.scenario.gateways {
        runner.start_gateway(n)?;
    }
    let (open_calls, call_counts) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(Mutex::new(CallCounts::default())),
    );
    let client_recorder = recorder.clone();
    let (shared_open_calls, shared_call_counts) = (open_calls.clone(), call_counts.clone());
    let arrivals = traffic::generate_arrivals(scenario, seed);
    let (max_retries, retry_wait_factor) = (scenario.max_retries, scenario.retry_wait_factor);
    let plan = clients::Plan {
        request_classes: scenario.request_classes.clone(),
        arrivals,
        seed,
        max_retries,
        retry_wait_factor,
    };
    let clients = actor::spawn(any_port(), move |handle, _| {
        Clients::new(
            handle,
            client_recorder,
            addresses,
            plan,
            shared_open_calls,
            shared_call_counts,
        )
    })?;
    let start = Instant::now();
    for (at, fault) in &scenario.faults {
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        runner.inject(fault)?;
    }
    std::thread::sleep(scenario.length.saturating_sub(start.elapsed()));
    clients.send(clients::Command::StopArrivals);
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while open_calls.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
    }
    let guarantees = guarantees(scenario);
    // Accepted asynchronous requests must run before the gateways stop; the audit counts the rest as lost.
    while scenario.gossip_period.is_some() && Instant::now() < deadline {
        let is_lost = |violation: &Violation| violation.rule == audit::Rule::RequestLost;
        if !audit::audit(&recorder.lines(), &guarantees).iter().any(is_lost) {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let recovery_view = |gateway: &Gateway| -> Option<RecoveryView> {
        let bytes =
            quartzdrift::snapshots::read(&gateway.state_folder, quartzdrift::snapshots::RECOVERY_VIEW)
                .ok()??;
        serde_json::from_slice(&bytes).ok()
    };
    let recovery_views = runner
        .gateways
        .iter()
        .map(|gateway| gateway.child.as_ref().and(recovery_view(gateway)))
        .collect();
    let stopped = runner.stop_gateways(0..=scenario.gateways - 1);
    drop(clients);
    stopped?;
    let lines = recorder.lines();
    let violations = audit::audit(&lines, &guarantees);
    let count = |matches: fn(&Observation) -> bool| lines.iter().filter(|line| matches(&line.seen)).count();
    let attempts = count(|observation| matches!(observation, Observation::AttemptReceived { .. }));
    let waited_for_load =
        count(|observation| matches!(observation, Observation::AttemptExecuted { warm: false, .. }));
    let fetches = count(|observation| matches!(observation, Observation::FetchRequested { .. }));
    let rejected_fetches = count(|observation| matches!(observation, Observation::FetchRefused { .. }));
    let call_counts = call_counts.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(ScenarioRun {
        lines,
        guarantees,
        violations,
        call_counts,
        attempts,
        waited_for_load,
        fetches,
        rejected_fetches,
        recovery_views,
    })
}

/// Writes the guarantees and the record of a run, one JSON object a line.
pub fn save_record(run: &ScenarioRun, path: &Path) -> io::Result<()> {
    let mut out = io::BufWriter::new(std::fs::File::create(path)?);
    writeln!(out, "{}", serde_json::to_string(&run.guarantees)?)?;
    for line in &run.lines {
        writeln!(out, "{}", serde_json::to_string(line)?)?;
    }
    out.flush()
}

/// Reads a file that [`save_record`] wrote.
pub fn load_record(path: &Path) -> io::Result<(Guarantees, Vec<RecordLine>)> {
    let text = std::fs::read_to_string(path)?;
    let mut lines = text.lines();
    let guarantees = serde_json::from_str(lines.next().unwrap_or(""))?;
    let lines = lines
        .map(serde_json::from_str)
        .collect::<Result<Vec<RecordLine>, _>>()?;
    Ok((guarantees, lines))
}
