//! Contradictions in settings, each with the line of what it is about and the mend.
use super::raw::{File, Idempotency, To};
use super::{Discovery, Fault, Function, Log, Settings, line_of};
use quartzdrift_async_queue::{Destination, QueueSettings};
use quartzdrift_discovery::{DiscoveredEndpoint, KnownNames, list};
use quartzdrift_http::Limits;
use quartzdrift_scheduler::interface as scheduler;
use quartzdrift_schedules::{MisfirePolicy, Schedule};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// What is found on the way.
struct Faults<'a> {
    file: &'a str,
    text: &'a str,
    found: Vec<Fault>,
}

impl Faults<'_> {
    fn add(&mut self, at: Range<usize>, what: impl Into<String>, mend: impl Into<String>) {
        let line = line_of(self.text, at.start);
        self.found.push(Fault {
            file: self.file.to_owned(),
            line,
            what: what.into(),
            mend: mend.into(),
        });
    }

    /// Where a table begins, by its header.
    fn table(&self, name: &str) -> Range<usize> {
        let at = self.text.find(&format!("[{name}]")).unwrap_or(0);
        at..at
    }

    /// Where a key of a table stands.
    fn key(&self, table: &str, key: &str) -> Range<usize> {
        let from = self.table(table).start;
        let line = self.text[from..].split_inclusive('\n').scan(from, |at, line| {
            let start = *at;
            *at += line.len();
            Some((start, line))
        });
        let is_key = |line: &str| {
            let rest = line.trim_start().strip_prefix(key);
            rest.is_some_and(|rest| rest.trim_start().starts_with('='))
        };
        let at = line
            .skip(1)
            .take_while(|(_, l)| !l.trim_start().starts_with('['))
            .find(|(_, l)| is_key(l));
        let at = at.map_or(from, |(at, _)| at);
        at..at
    }
}

fn url(told: &str) -> Result<(SocketAddr, String), String> {
    let rest = told
        .strip_prefix("http://")
        .ok_or("it does not begin with http://")?;
    let at = rest.find('/').unwrap_or(rest.len());
    let target = if at == rest.len() {
        "/".to_owned()
    } else {
        rest[at..].to_owned()
    };
    let address = list::address(&rest[..at]).map_err(|error| error.to_string())?;
    Ok((address, target))
}

/// An HTTP URL with an address in numbers, split for a call.
pub fn destination(told: &str) -> Result<(SocketAddr, String), String> {
    url(told)
}

pub fn check(file: &str, text: &str, raw: &File) -> Result<Settings, Vec<Fault>> {
    let mut faults = Faults {
        file,
        text,
        found: Vec::new(),
    };
    let scheduler = raw.scheduler();
    let listen = listen(raw, &mut faults);
    request_classes(raw, &mut faults);
    rules(raw, &mut faults);
    tenants(raw, &mut faults);
    limits(raw, &mut faults);
    let functions = functions(raw, &scheduler, &mut faults);
    let known = KnownNames {
        zones: raw.scheduler.zones.clone(),
        kinds: raw.scheduler.kinds.clone(),
    };
    let workers = workers(raw, &known, &mut faults);
    let discovery = discovery(raw, &mut faults);
    if workers.is_empty() && raw.discovery.is_none() && raw.gateway.state.is_none() {
        let mend = "add [[workers]] with an address, or [roster] with a url";
        faults.add(
            faults.table("gateway"),
            "no worker is named and no roster that names any",
            mend,
        );
    }
    let default_function = raw.gateway.default_request_class.as_ref().and_then(|told| {
        let request_class = request_class_named(raw, told.get_ref());
        if request_class.is_none() {
            let mend = format!("name one of: {}", names(raw));
            faults.add(
                told.span(),
                format!("there is no workload '{}'", told.get_ref()),
                mend,
            );
        }
        request_class.map(|request_class| {
            Rc::new(Function {
                request_class,
                ..Function::default()
            })
        })
    });
    let timers = timers(raw, &functions, default_function.is_some(), &mut faults);
    let on_success = to(
        &raw.asynchronous.on_success,
        raw,
        faults.table("deferred"),
        &mut faults,
    );
    let on_failure = to(
        &raw.asynchronous.on_failure,
        raw,
        faults.table("deferred"),
        &mut faults,
    );
    let asynchronous = asynchronous(raw, &mut faults);
    let forecasts = forecasts(raw, &mut faults);
    let fleet = fleet(raw, &mut faults);
    recovery(raw, &mut faults);
    if raw
        .record
        .as_ref()
        .is_some_and(|record| record.file.is_empty() || record.bytes == 0)
    {
        faults.add(
            faults.table("record"),
            "a trace needs a file and room",
            "write file = \"trace.jsonl.gz\"",
        );
    }
    if let Err(e) = tracing_subscriber::EnvFilter::try_new(&raw.log.filter) {
        let mend = "write a level like \"info\", or \"info,quartzdrift=debug\"";
        faults.add(
            faults.key("log", "filter"),
            format!("the log filter cannot be read: {e}"),
            mend,
        );
    }
    if !faults.found.is_empty() {
        faults.found.sort_by_key(|fault| fault.line);
        return Err(faults.found);
    }
    let defaults = Limits::default();
    let limit = &raw.limits;
    let span = |told: Option<super::raw::Span>, or: Duration| told.map_or(or, |span| span.0);
    Ok(Settings {
        listen,
        state: raw.gateway.state.as_ref().map(Into::into),
        seed: raw.gateway.seed,
        drain: raw.gateway.drain.0,
        require_json: raw.gateway.require_json,
        tenant_field: raw.gateway.tenant_field.as_ref().map(|f| f.to_ascii_lowercase()),
        tenants: raw
            .tenants
            .iter()
            .zip(0..)
            .map(|(c, at)| (c.get_ref().name.clone(), at))
            .collect(),
        functions,
        default_function,
        limits: Limits {
            head: limit.head_bytes.unwrap_or(defaults.head),
            request_body: limit.payload_bytes.unwrap_or(defaults.request_body),
            response_body: limit.answer_bytes.unwrap_or(defaults.response_body),
            connections: limit.connections.unwrap_or(defaults.connections),
            connections_per_server: limit
                .connections_per_server_worker
                .unwrap_or(defaults.connections_per_server),
            receive: span(limit.receive, defaults.receive),
            idle: span(limit.idle, defaults.idle),
            send: span(limit.send, defaults.send),
            keepalive: raw.allowed.keepalive.0,
        },
        log: Log {
            json: raw.log.form == super::raw::LogForm::Json,
            filter: raw.log.filter.clone(),
        },
        scheduler,
        metrics: raw.reports.fields.iter().map(|m| m.metric.clone()).collect(),
        connect_timeout: raw.allowed.connect_timeout.0,
        workers,
        known,
        discovery,
        asynchronous,
        store: raw.asynchronous.store.as_ref().map(Into::into),
        answer_early: raw.asynchronous.answer == super::raw::Answer::Early,
        on_success,
        on_failure,
        timers,
        forecasts,
        record: raw.record.clone().map(|record| super::Record {
            file: record.file.into(),
            bytes: record.bytes,
            hash_names: record.hash_names,
        }),
        fleet,
        recovery: super::Recovery {
            ask: raw.recovery.ask.0,
            longest: raw.recovery.longest.0,
            idempotency_keys_on_disk: raw.recovery.idempotency_keys == super::raw::IdempotencyKeysIn::Disk,
            pace: raw.recovery.pace,
        },
        share_port: raw.gateway.share_port,
    })
}

/// Bytes of a fleet's key at least: what cannot be guessed.
const MIN_KEY: usize = 16;

/// A key from its file.
fn key(path: &str) -> Result<Vec<u8>, String> {
    let text =
        std::fs::read_to_string(path).map_err(|e| format!("the key file '{path}' cannot be read: {e}"))?;
    let key = hex::decode(text.trim()).map_err(|e| format!("the key file '{path}' holds no key: {e}"))?;
    match key.len() {
        MIN_KEY.. => Ok(key),
        bytes => Err(format!(
            "the key in '{path}' has {bytes} bytes; it can be guessed"
        )),
    }
}

fn recovery(raw: &File, faults: &mut Faults) {
    let told = &raw.recovery;
    if told.ask.0.is_zero() || told.longest.0 < told.ask.0 {
        let mend = "write ask over nothing, and longest no shorter than it";
        faults.add(faults.table("recovery"), "others have no time to answer", mend);
    }
    let keeps = |w: &toml::Spanned<super::raw::RequestClass>| {
        w.get_ref().idempotency == Idempotency::IdempotentWithKey
    };
    if told.idempotency_keys == super::raw::IdempotencyKeysIn::Disk && !raw.request_classes.iter().any(keeps)
    {
        let mend = "take fingerprints = \"disk\" out, or tell the workload whose effect is \"fingerprinted\"";
        faults.add(
            faults.table("recovery"),
            "workers are said to keep fingerprints, and no workload has any",
            mend,
        );
    }
}

fn fleet(raw: &File, faults: &mut Faults) -> Option<super::Fleet> {
    let told = raw.fleet.as_ref()?;
    let defaults = quartzdrift_membership::Settings::default();
    let most = quartzdrift_membership::MAX_NAME_LENGTH;
    if told.name.is_empty() || told.name.len() > most {
        let mend = format!("write a name of 1 to {most} bytes that no other scheduler has");
        faults.add(
            faults.key("fleet", "name"),
            "the scheduler has no usable name",
            mend,
        );
    }
    if told.cluster.is_empty() {
        faults.add(
            faults.key("fleet", "cluster"),
            "the cluster has no name",
            "write cluster = \"production\" or so",
        );
    }
    let mut address = |told: &toml::Spanned<String>| match list::address(told.get_ref()) {
        Ok(address) => Some(address),
        Err(why) => {
            faults.add(told.span(), why.to_string(), "write it like \"127.0.0.1:9790\"");
            None
        }
    };
    let listen = address(&told.listen);
    let advertise = told.advertise.as_ref().map_or(listen, &mut address);
    let seeds: Vec<SocketAddr> = told.seeds.iter().filter_map(&mut address).collect();
    if advertise.is_some_and(|at| at.ip().is_unspecified()) {
        let mend = "add advertise = with the address that others reach it by";
        faults.add(
            told.listen.span(),
            "others cannot reach a member at an unspecified address",
            mend,
        );
    }
    if told.keys.is_empty() || told.keys.len() > 2 {
        let what = format!("{} keys are told", told.keys.len());
        let mend = "name the file of one key, or of two while keys are changed: the new one and the old one";
        faults.add(faults.key("fleet", "keys"), what, mend);
    }
    let mut keys = Vec::new();
    for told in &told.keys {
        match key(told.get_ref()) {
            Ok(key) => keys.push(key),
            Err(why) => {
                let mend = "write 64 random hexadecimal digits into it, like `openssl rand -hex 32` does";
                faults.add(told.span(), why, mend);
            }
        }
    }
    let period = told.period.map_or(defaults.protocol_period, |span| span.0);
    let probe_timeout = told.probe_timeout.map_or(period.mul_f64(0.3), |span| span.0);
    if period < Duration::from_millis(10) || probe_timeout.is_zero() || probe_timeout * 2 > period {
        let mend = "write a period of 10ms or more, and a probe_timeout of half of it at most";
        faults.add(
            faults.key("fleet", "period"),
            "period and probe_timeout do not fit together",
            mend,
        );
    }
    let max_datagram_size = told.datagram_bytes.unwrap_or(defaults.max_datagram_size);
    if !(512..=2048).contains(&max_datagram_size) {
        faults.add(
            faults.key("fleet", "datagram_bytes"),
            "datagrams are too short or too long",
            "write 512 to 2048",
        );
    }
    let max_members = told.members.unwrap_or(defaults.max_members);
    if max_members == 0 {
        faults.add(
            faults.key("fleet", "members"),
            "there is no room for any member",
            "write a number over 0",
        );
    }
    let members = quartzdrift_membership::Settings {
        name: told.name.clone(),
        address: advertise?,
        cluster: told.cluster.clone(),
        seeds,
        keys,
        protocol_period: period,
        probe_timeout,
        max_datagram_size,
        max_members,
        ..defaults
    };
    Some(super::Fleet {
        members,
        listen: listen?,
        silent: told.silent.0,
    })
}

fn forecasts(raw: &File, faults: &mut Faults) -> Option<super::Forecasts> {
    let told = raw.forecasts.as_ref()?;
    if told.functions == 0 {
        faults.add(
            faults.key("forecasts", "functions"),
            "no function is remembered",
            "write a number over 0",
        );
    }
    if told.every.0 < Duration::from_secs(1) {
        faults.add(
            faults.key("forecasts", "every"),
            "every is under a second",
            "write \"60s\" or so",
        );
    }
    if told.seasons.len() > 2
        || told
            .seasons
            .iter()
            .any(|season| season.0 < Duration::from_secs(60))
    {
        let mend = "write two spans of a minute or more at most, like [\"1d\", \"7d\"]";
        faults.add(
            faults.key("forecasts", "seasons"),
            "there are too many seasons, or too short ones",
            mend,
        );
    }
    if !raw.copies.load_commands {
        let mend = "write orders = true under [copies], or leave [forecasts] out";
        faults.add(
            faults.table("forecasts"),
            "forecasts are kept, but load orders are not allowed",
            mend,
        );
    }
    let keep = raw
        .copies
        .keep
        .map_or(quartzdrift_forecast::Settings::default().keep, |keep| keep.0);
    let settings = quartzdrift_forecast::Settings {
        functions: told.functions,
        keep,
        seasons: told.seasons.iter().map(|season| season.0).collect(),
        ..quartzdrift_forecast::Settings::default()
    };
    Some(super::Forecasts {
        settings,
        every: told.every.0,
    })
}

fn listen(raw: &File, faults: &mut Faults) -> Vec<SocketAddr> {
    if raw.gateway.listen.is_empty() {
        faults.add(
            faults.key("gateway", "listen"),
            "there is no address to listen at",
            "write listen = [\"127.0.0.1:9700\"]",
        );
    }
    let mut all = Vec::new();
    for told in &raw.gateway.listen {
        match list::address(told.get_ref()) {
            Ok(address) => all.push(address),
            Err(why) => faults.add(told.span(), why.to_string(), "write it like \"127.0.0.1:9700\""),
        }
    }
    all
}

fn names(raw: &File) -> String {
    raw.request_classes
        .iter()
        .map(|w| w.get_ref().name.as_str())
        .collect::<Vec<_>>()
        .join(", ")
}

fn request_class_named(raw: &File, name: &str) -> Option<u32> {
    raw.request_classes
        .iter()
        .position(|w| w.get_ref().name == name)
        .map(|at| at as u32)
}

fn request_classes(raw: &File, faults: &mut Faults) {
    if raw.request_classes.is_empty() {
        let mend = "add [[workloads]] with name, effect and time_limit";
        faults.add(faults.table("gateway"), "there is no workload", mend);
    }
    for (at, told) in raw.request_classes.iter().enumerate() {
        let (span, w) = (told.span(), told.get_ref());
        let mut fault = |what: &str, mend: &str| {
            faults.add(span.clone(), format!("workload '{}': {what}", w.name), mend);
        };
        if raw.request_classes[..at]
            .iter()
            .any(|before| before.get_ref().name == w.name)
        {
            fault("the name stands twice", "give each workload a name of its own");
        }
        if w.timeout.0 <= raw.rules.answer_slack.0 + raw.allowed.connect_timeout.0 {
            let mend = "make time_limit longer, or rules.answer_slack or allowed.connect_timeout shorter";
            fault(
                "its time limit is not longer than the answer slack and a connect time-out together",
                mend,
            );
        }
        if w.latency_objective.is_some_and(|target| target > w.timeout) {
            fault(
                "its start target is past its time limit",
                "make start_target no longer than time_limit",
            );
        }
        let keyed = w.idempotency == Idempotency::IdempotentWithKey;
        if keyed && w.window.is_none_or(|window| window.0.is_zero()) {
            fault(
                "it is fingerprinted, but for how long repeats are known is not told",
                "add window = \"5s\" or so",
            );
        }
        if keyed && w.deduplication_scope.is_none() {
            fault(
                "it is fingerprinted, but which workers know a repeat is not told",
                "add group = \"all\", \"zone\" or \"cell\"",
            );
        }
        if !keyed && (w.window.is_some() || w.deduplication_scope.is_some()) {
            fault(
                "group and window say nothing unless it is fingerprinted",
                "remove them, or change effect",
            );
        }
        let share = |told: Option<f64>| told.is_some_and(|n| !(0.0..=1.0).contains(&n));
        if share(w.late_weight) {
            fault("late_share is no share", "write a number from 0 to 1");
        }
        if w.priority_weight.is_some_and(|n| !n.is_finite() || n < 0.0) {
            fault("importance is below nothing", "write a number from 0 on");
        }
    }
}

fn rules(raw: &File, faults: &mut Faults) {
    let rules = &raw.rules;
    let cold = [
        ("cold_from", rules.cold_from.is_some()),
        ("cold_for", rules.cold_for.is_some()),
        ("fall_multiple", rules.fall_multiple.is_some()),
        ("fall_window", rules.fall_window.is_some()),
    ];
    let missing: Vec<&str> = cold
        .iter()
        .filter(|(_, told)| !told)
        .map(|(name, _)| *name)
        .collect();
    if !missing.is_empty() && missing.len() < cold.len() {
        let mend = format!("add {}, or leave all four out", missing.join(", "));
        faults.add(
            faults.table("rules"),
            "the rule for cold workers is told in part",
            mend,
        );
    }
    if rules.cold_from.is_some_and(|from| !(from > 0.0 && from <= 1.0)) {
        let mend =
            "write the share of its work that a worker can do when it has just started, over 0 up to 1";
        faults.add(faults.key("rules", "cold_from"), "cold_from is no share", mend);
    }
    if rules.fall_multiple.is_some_and(|n| !n.is_finite() || n <= 0.0) {
        faults.add(
            faults.key("rules", "fall_multiple"),
            "fall_multiple is not over 0",
            "write a number over 0",
        );
    }
    let copies = &raw.copies;
    let load = [
        copies.load_quota_burst.is_some(),
        copies.load_quota_share.is_some(),
        copies.load_quota_window.is_some(),
    ];
    if load.contains(&true) && load.contains(&false) {
        let mend = "tell load_free, load_share and load_window, or none of them";
        faults.add(
            faults.table("copies"),
            "the ration of load orders is told in part",
            mend,
        );
    }
    let kinds = raw.scheduler.kinds.len().max(1);
    if !copies.memory_mb_by_kind.is_empty() && copies.memory_mb_by_kind.len() != kinds {
        let what = format!(
            "memory is told for {} kinds of {kinds}",
            copies.memory_mb_by_kind.len()
        );
        let mend = "write one figure for each of scheduler.kinds";
        faults.add(faults.key("copies", "memory_mb_by_kind"), what, mend);
    }
    if raw.allowed.max_attempts == Some(0) {
        let mend = "write 1 for no further executions";
        faults.add(
            faults.key("allowed", "max_executions"),
            "no execution is allowed at all",
            mend,
        );
    }
    if raw.allowed.connect_timeout.0.is_zero() {
        faults.add(
            faults.key("allowed", "connect_timeout"),
            "connect_timeout is zero",
            "write \"250ms\" or so",
        );
    }
    let scheduler = &raw.scheduler;
    if let (Some(me), Some(all)) = (scheduler.me, scheduler.schedulers)
        && me >= all
    {
        let mend = "number the schedulers from 0 to one less than scheduler.schedulers";
        faults.add(
            faults.key("scheduler", "me"),
            format!("me is {me} of {all} schedulers"),
            mend,
        );
    }
    if let Some(zone) = &scheduler.zone
        && !scheduler.zones.contains(zone.get_ref())
    {
        let mend = format!("name one of scheduler.zones: {}", scheduler.zones.join(", "));
        faults.add(
            zone.span(),
            format!("there is no zone '{}'", zone.get_ref()),
            mend,
        );
    }
    if matches!(raw.reports.source, super::raw::ReportSource::Silent) && !raw.reports.fields.is_empty() {
        let mend = "write source = \"answers\", or leave the fields out";
        faults.add(
            faults.table("reports"),
            "fields of reports are told, but no source of them",
            mend,
        );
    }
}

fn tenants(raw: &File, faults: &mut Faults) {
    for (at, told) in raw.tenants.iter().enumerate() {
        let tenant = told.get_ref();
        if raw.tenants[..at]
            .iter()
            .any(|before| before.get_ref().name == tenant.name)
        {
            let what = format!("customer '{}' stands twice", tenant.name);
            faults.add(told.span(), what, "give each customer a name of its own");
        }
        if tenant.share.is_some_and(|n| !(0.0..=1.0).contains(&n)) {
            let what = format!("customer '{}': the share is no share", tenant.name);
            faults.add(told.span(), what, "write a number from 0 to 1");
        }
    }
    let all: f64 = raw.tenants.iter().filter_map(|c| c.get_ref().share).sum();
    if all > 1.001 {
        let at = raw.tenants.first().map_or(0..0, |c| c.span());
        faults.add(
            at,
            format!("the customers' shares come to {all:.3}"),
            "make them come to 1 at most",
        );
    }
    if raw.gateway.tenant_field.is_some() && raw.tenants.is_empty() {
        let mend = "add [[customers]], or leave customer_field out";
        faults.add(
            faults.key("gateway", "customer_field"),
            "a field tells customers, but none are named",
            mend,
        );
    }
}

fn limits(raw: &File, faults: &mut Faults) {
    let limits = &raw.limits;
    let counts = [
        ("head_bytes", limits.head_bytes),
        ("answer_bytes", limits.answer_bytes),
        ("connections", limits.connections),
        (
            "connections_per_server_worker",
            limits.connections_per_server_worker,
        ),
    ];
    for (name, told) in counts {
        if told == Some(0) {
            faults.add(
                faults.key("limits", name),
                format!("{name} is 0: nothing could pass"),
                "write a number over 0",
            );
        }
    }
    for (name, told) in [
        ("receive", limits.receive),
        ("idle", limits.idle),
        ("send", limits.send),
    ] {
        if told.is_some_and(|span| span.0.is_zero()) {
            faults.add(
                faults.key("limits", name),
                format!("{name} is zero"),
                "write a span like \"20s\"",
            );
        }
    }
}

fn to(told: &Option<To>, raw: &File, at: Range<usize>, faults: &mut Faults) -> Option<Destination> {
    match told.as_ref()? {
        To {
            function: Some(name),
            url: None,
        } => {
            let plain = name.split(':').next().unwrap_or(name);
            let named = raw
                .functions
                .iter()
                .any(|f| f.get_ref().name == *name || f.get_ref().name == plain);
            if !named && raw.gateway.default_request_class.is_none() {
                faults.add(
                    at,
                    format!("the destination '{name}' is no function"),
                    "name one of [[functions]]",
                );
            }
            Some(Destination::Function(name.clone()))
        }
        To {
            function: None,
            url: Some(told),
        } => {
            if let Err(why) = url(told) {
                faults.add(
                    at,
                    format!("destination: {why}"),
                    "write it like \"http://127.0.0.1:8080/path\"",
                );
            }
            Some(Destination::Url(told.clone()))
        }
        To { .. } => {
            let mend = "write either function = \"name\" or url = \"http://...\"";
            faults.add(at, "a destination is a function or a URL", mend);
            None
        }
    }
}

fn functions(
    raw: &File,
    scheduler: &scheduler::Settings,
    faults: &mut Faults,
) -> HashMap<String, Rc<Function>> {
    let mut all = HashMap::new();
    for told in &raw.functions {
        let (span, f) = (told.span(), told.get_ref());
        if quartzdrift_invoke::function_name::FunctionName::parse(&f.name).is_err() {
            let what = format!("'{}' is no function's name", f.name);
            faults.add(
                span.clone(),
                what,
                "use letters, digits, '-' and '_', and ':' before a version",
            );
        }
        let Some(request_class) = request_class_named(raw, &f.request_class) else {
            let mend = format!("name one of: {}", names(raw));
            faults.add(
                span,
                format!(
                    "function '{}': there is no workload '{}'",
                    f.name, f.request_class
                ),
                mend,
            );
            continue;
        };
        let most = scheduler
            .copies
            .memory_mb_by_kind
            .iter()
            .copied()
            .fold(f64::NAN, f64::max);
        if f.memory_mb.is_some_and(|mb| mb > most) {
            let what = format!(
                "function '{}': no kind of worker has the memory for a copy",
                f.name
            );
            faults.add(
                span.clone(),
                what,
                format!("the largest has {most} MB: make memory_mb smaller"),
            );
        }
        if f.concurrency_slots
            .is_some_and(|concurrency_slots| !(concurrency_slots >= 1.0 && concurrency_slots.is_finite()))
        {
            faults.add(
                span.clone(),
                format!("function '{}': lanes is below 1", f.name),
                "write 1 or more",
            );
        }
        let on_success = to(&f.on_success, raw, span.clone(), faults);
        let on_failure = to(&f.on_failure, raw, span.clone(), faults);
        let function = Function {
            request_class,
            memory_mb: f.memory_mb,
            concurrency_slots: f.concurrency_slots,
            load: f.load.map(|s| s.0),
            work: f.work.map(|s| s.0),
            writes: f.writes,
            on_success,
            on_failure,
        };
        if all.insert(f.name.clone(), Rc::new(function)).is_some() {
            faults.add(
                span,
                format!("function '{}' stands twice", f.name),
                "remove one of them",
            );
        }
    }
    if raw.functions.is_empty()
        && raw.gateway.default_request_class.is_none()
        && !raw.request_classes.is_empty()
    {
        let mend = "add [[functions]], or gateway.default_workload for all that are not named";
        faults.add(faults.table("gateway"), "no function is known", mend);
    }
    all
}

fn workers(raw: &File, known: &KnownNames, faults: &mut Faults) -> Vec<DiscoveredEndpoint> {
    let mut all: Vec<DiscoveredEndpoint> = Vec::new();
    for told in &raw.workers {
        let w = told.get_ref();
        let mut index = |what: &str, told_name: &Option<String>, names: &[String]| match told_name {
            None => 0,
            Some(name) => names.iter().position(|n| n == name).map_or_else(
                || {
                    let mend = format!("name one of scheduler.{what}s: {}", names.join(", "));
                    faults.add(told.span(), format!("there is no {what} '{name}'"), mend);
                    0
                },
                |at| at as u32,
            ),
        };
        let zone = index("zone", &w.zone, &known.zones);
        let kind = index("kind", &w.kind, &known.kinds);
        match list::address(&w.address) {
            Ok(address) => {
                let worker = address.to_string();
                if all.iter().any(|one| one.worker == worker) {
                    faults.add(
                        told.span(),
                        format!("worker {worker} stands twice"),
                        "remove one of them",
                    );
                }
                all.push(DiscoveredEndpoint {
                    zone,
                    kind,
                    cell: w.cell,
                    capacity: w.capacity,
                    ..DiscoveredEndpoint::up(&worker)
                });
            }
            Err(why) => faults.add(told.span(), why.to_string(), "write it like \"127.0.0.1:9801\""),
        }
    }
    all
}

fn discovery(raw: &File, faults: &mut Faults) -> Option<Discovery> {
    let told = raw.discovery.as_ref()?;
    if told.every.0 < Duration::from_millis(50) {
        faults.add(
            faults.key("roster", "every"),
            "the list is asked for too often",
            "write 50ms or more",
        );
    }
    if told.timeout.0.is_zero() {
        faults.add(
            faults.key("roster", "timeout"),
            "timeout is zero",
            "write \"2s\" or so",
        );
    }
    match url(told.url.get_ref()) {
        Ok((address, target)) => {
            let (stream, every, timeout) = (told.stream, told.every.0, told.timeout.0);
            Some(Discovery {
                address,
                target,
                stream,
                every,
                timeout,
            })
        }
        Err(why) => {
            faults.add(
                told.url.span(),
                why,
                "write it like \"http://127.0.0.1:9800/workers\"",
            );
            None
        }
    }
}

fn asynchronous(raw: &File, faults: &mut Faults) -> QueueSettings {
    let told = &raw.asynchronous;
    if told.tries == 0 {
        faults.add(
            faults.key("deferred", "tries"),
            "no try is allowed at all",
            "write 1 for no further tries",
        );
    }
    if told.out == 0 {
        faults.add(
            faults.key("deferred", "out"),
            "no deferred job may be out",
            "write a number over 0",
        );
    }
    if told.store.is_none() && told.answer == super::raw::Answer::Early {
        let mend = "name a folder in store, or leave answer out";
        faults.add(
            faults.key("deferred", "answer"),
            "answer says nothing without a store",
            mend,
        );
    }
    if told.wait > told.longest_wait {
        let mend = "make longest_wait no shorter than wait";
        faults.add(
            faults.key("deferred", "wait"),
            "the first wait is longer than the longest",
            mend,
        );
    }
    QueueSettings {
        max_attempts: told.tries,
        first_retry_delay: told.wait.0,
        max_retry_delay: told.longest_wait.0,
        max_age: told.greatest_age.0,
        max_invocations: told.requests,
        max_bytes: told.bytes,
        max_concurrent_attempts: told.out,
    }
}

fn timers(
    raw: &File,
    functions: &HashMap<String, Rc<Function>>,
    any: bool,
    faults: &mut Faults,
) -> Vec<(Schedule, Rc<[u8]>)> {
    let mut all: Vec<(Schedule, Rc<[u8]>)> = Vec::new();
    for told in &raw.timers {
        let (span, t) = (told.span(), told.get_ref());
        if !functions.contains_key(&t.function) && !any {
            let what = format!("timer '{}': there is no function '{}'", t.name, t.function);
            faults.add(span.clone(), what, "name one of [[functions]]");
        }
        if all.iter().any(|(before, _)| before.name == t.name) {
            faults.add(
                span.clone(),
                format!("timer '{}' stands twice", t.name),
                "give each a name of its own",
            );
        }
        if raw.gateway.require_json && !quartzdrift_invoke::request::is_json(t.payload.as_bytes()) {
            faults.add(
                span.clone(),
                format!("timer '{}': its payload is not JSON", t.name),
                "write JSON in it",
            );
        }
        let cron = quartzdrift_schedules::cron(&t.cron)
            .map_err(|why| faults.add(span.clone(), why.to_string(), "write like \"*/5 * * * *\""));
        let zone = quartzdrift_schedules::zone(&t.zone).map_err(|why| {
            faults.add(
                span.clone(),
                why.to_string(),
                "write like \"Europe/Amsterdam\" or \"UTC\"",
            )
        });
        let (Ok(cron), Ok(zone)) = (cron, zone) else {
            continue;
        };
        let schedule = Schedule {
            name: t.name.clone(),
            function: t.function.clone(),
            cron,
            zone,
            jitter: t.jitter.map_or(Duration::ZERO, |s| s.0),
            misfire_policy: match t.missed {
                super::raw::Missed::Skip => MisfirePolicy::Skip,
                super::raw::Missed::Once => MisfirePolicy::Once,
                super::raw::Missed::All => MisfirePolicy::All,
            },
            overlap: t.overlap,
        };
        all.push((schedule, Rc::from(t.payload.as_bytes())));
    }
    all
}
