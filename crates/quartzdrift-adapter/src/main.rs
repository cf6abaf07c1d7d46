//! Speaks the simulator's wire on standard input and output for many instances of the decision module,
//! which share nothing. All decisions are the module's; this only translates.
mod wire;

use quartzdrift_scheduler::interface::*;
use quartzdrift_scheduler::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::time::Duration;
use wire::Line;

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Scheduler>,
    now: Duration,
    reply: String,
}

fn need(key: &'static str) -> impl Fn() -> String {
    move || format!("'{key}' is missing or unreadable")
}

impl Host {
    /// Starts an instance; `Err` ends it all, as requests of an instance that did not start would go unanswered.
    fn open(&mut self, line: &Line) -> Result<(), String> {
        let instance = line.count("i").ok_or_else(need("i"))?;
        let told = serde_json::from_str(line.to_end("boot-info").unwrap_or("")).map_err(|e| e.to_string())?;
        let settings = quartzdrift_platform::settings::read(&told)?;
        let seed = line.count("nonce64").ok_or_else(need("nonce64"))?;
        self.instances.insert(instance, Scheduler::new(&settings, seed));
        Ok(())
    }

    /// Carries out one other event; `Err` says what of the line could not be read.
    fn event(&mut self, line: &Line, entries: Vec<Endpoint>) -> Result<(), String> {
        let instance = match line.name {
            "detach" | "targets" | "req" | "fired" | "sampled" | "answer" | "started" | "heard"
            | "expired" | "stands" => line.count::<u64>("i").ok_or_else(need("i"))?,
            _ => return Ok(()),
        };
        let request = || line.count::<RequestId>("tid").ok_or_else(need("tid"));
        let worker = || line.text("worker").ok_or_else(need("worker"));
        let outcome = || line.outcome().ok_or_else(need("disposition"));
        let duration = || line.span("cost-time-ns").unwrap_or_default();
        let event = match line.name {
            "detach" => {
                self.instances.remove(&instance);
                return Ok(());
            }
            "targets" => Event::EndpointList {
                form: match line.text("form") {
                    Some("INCREMENTAL") => EndpointListKind::Changes,
                    Some("FULL") => EndpointListKind::Full,
                    Some("SAVED") => EndpointListKind::Snapshot,
                    Some("FAILED") => EndpointListKind::Failed,
                    other => {
                        // Passed concluded, it could hide a drain.
                        eprintln!("a list of form {other:?} is taken for changes");
                        EndpointListKind::Changes
                    }
                },
                entries,
            },
            "req" => Event::Request(Request {
                request: request()?,
                // One that cannot be read is none of ours: some other's rule on repeats would be kept for it.
                request_class: line
                    .text("tier-class")
                    .map_or(0, |told| told.parse().unwrap_or(u32::MAX)),
                tenant: line.count("user-group").unwrap_or(0),
                function: line.text("image").unwrap_or(""),
                left: line.span("grace-ns").unwrap_or_default(),
                work_hint: line.span("expected-ns"),
                memory_mb: line.number("size-mb"),
                concurrency_slots: line.number("lanes"),
                load_hint: line
                    .number("start-ms")
                    .and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok()),
                is_retry: line.flag("is-retry"),
                writes: line.flag("mutates"),
            }),
            "fired" => Event::Timer {
                name: line.text("mark").ok_or_else(need("mark"))?,
            },
            "sampled" => Event::HealthChecked {
                worker: worker()?,
                outcome: outcome()?,
                duration: duration(),
                report: line.report(),
            },
            "answer" => {
                let (cache_result, concurrency) = line.cache_result();
                Event::AttemptEnded {
                    request: request()?,
                    attempt: line.count("seq-no").unwrap_or(0),
                    worker: worker()?,
                    // Passed concluded, its request would go unanswered: it may have run.
                    outcome: outcome().unwrap_or_else(|why| {
                        eprintln!(
                            "job {}: {why}; it is taken for an error",
                            line.text("tid").unwrap_or("")
                        );
                        Outcome::Error
                    }),
                    duration: duration(),
                    concluded: line.flag("no-more"),
                    cache_result,
                    concurrency: Some(concurrency),
                    report: line.report(),
                }
            }
            "started" => Event::StreamingStarted {
                request: request()?,
                attempt: line.count("seq-no").unwrap_or(0),
                worker: worker()?,
                duration: duration(),
            },
            "heard" => Event::PeerMessage {
                from: line.count("sender").unwrap_or(0),
                bytes: line
                    .text("body")
                    .and_then(wire::bytes_of)
                    .ok_or_else(need("body"))?,
            },
            "expired" => Event::RequestCancelled { request: request()? },
            _ => Event::LoadEnded {
                worker: worker()?,
                function: line.text("image").ok_or_else(need("image"))?,
                outcome: outcome()?,
                duration: duration(),
                copies: line.count("n-inst").unwrap_or(0),
            },
        };
        let Some(scheduler) = self.instances.get_mut(&instance) else {
            return Ok(());
        };
        for action in scheduler.handle(self.now, event) {
            let written = wire::write(&mut self.reply, instance, &action);
            written.map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// Works one batch, given without its closing line; `Err` where it cannot go on.
    fn batch(&mut self, text: &str) -> Result<(), String> {
        self.reply.clear();
        let mut lines = text.lines().peekable();
        while let Some(text) = lines.next() {
            let line = Line::read(text);
            let mut entries = Vec::new();
            if line.name == "targets" {
                while let Some(next) = lines.peek().map(|t| Line::read(t)).filter(|l| l.name == "worker") {
                    match next.entry() {
                        Some(entry) => entries.push(entry),
                        None => eprintln!("cannot read list entry: {}", lines.peek().unwrap_or(&"")),
                    }
                    lines.next();
                }
            }
            if line.name == "sync" {
                match line.span("moment-ns") {
                    Some(at) => self.now = at,
                    None => eprintln!("cannot read line: {text}: 'moment-ns' is missing or unreadable"),
                }
            } else if line.name == "open_instance" {
                self.open(&line)
                    .map_err(|why| format!("the settings cannot be used: {why}"))?;
            } else if let Err(why) = self.event(&line, entries) {
                eprintln!("cannot read line: {text}: {why}");
            }
        }
        self.reply.push_str("ack\n");
        Ok(())
    }
}

/// Works what comes in to its end, or to settings that cannot be kept to.
fn host(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut batch = Vec::new();
    loop {
        let start = batch.len();
        if input.read_until(b'\n', &mut batch).map_err(|e| e.to_string())? == 0 {
            return Ok(());
        }
        if batch[start..].trim_ascii_end() == b"commit" {
            host.batch(&String::from_utf8_lossy(&batch[..start]))?;
            let written = output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(|e| e.to_string())?;
            batch.clear();
        }
    }
}

fn main() -> ExitCode {
    match host(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: &str = "sync\tmoment-ns=1000000\nopen_instance\ti=0\tnonce64=7\tboot-info=SETTINGS\n\
        targets\ti=0\tform=SAVED\tlines=1\nworker\tworker=10.0.0.1:1\thealth=up\ncommit\n";
    const SETTINGS: &str = r#"{"registry-mode":"push","classes":[{"effect":"retryable"}]}"#;
    const REQUEST: &str = "req\ti=0\ttid=5\timage=f\tgrace-ns=1000000000\n";

    fn play(settings: &str, then: &str) -> Result<String, String> {
        let mut out = Vec::new();
        let text = format!("{}{then}commit\n", START.replace("SETTINGS", settings));
        host(text.as_bytes(), &mut out).map(|()| String::from_utf8(out).unwrap())
    }

    #[test]
    fn settings_that_cannot_be_used_end_it_with_a_message() {
        for bad in ["", "{", "[]", "{}", r#"{"classes":[{"window-ns":"long"}]}"#] {
            let why = play(bad, "").expect_err(bad);
            assert!(why.starts_with("the settings cannot be used: "), "{why}");
        }
        assert!(play(SETTINGS, "").is_ok());
        let seedless = START
            .replace("SETTINGS", SETTINGS)
            .replace("nonce64=7", "nonce64=");
        assert!(host(seedless.as_bytes(), Vec::new()).is_err());
    }

    #[test]
    fn what_cannot_be_read_leaves_no_request_without_an_answer() {
        let sent = play(SETTINGS, REQUEST).unwrap();
        assert!(sent.contains("pass_on\ti=0\ttid=5\tworker=10.0.0.1:1"), "{sent}");
        let told = format!("{REQUEST}answer\ti=0\ttid=5\tseq-no=0\tworker=10.0.0.1:1\tdisposition=eaten\n");
        assert!(play(SETTINGS, &told).unwrap().contains("push_back\ti=0\ttid=5"));
        let once = SETTINGS.replace("retryable", "fragile");
        assert!(
            play(&once, &told).unwrap().contains("drop_request\ti=0\ttid=5"),
            "it may have run"
        );
        let class = play(SETTINGS, &REQUEST.replace("image", "tier-class=-1\timage")).unwrap();
        assert!(
            class.contains("push_back\ti=0\ttid=5") && !class.contains("pass_on"),
            "{class}"
        );
    }

    #[test]
    fn news_of_a_list_that_cannot_be_read_whole_still_ends_what_goes_to_a_worker() {
        for news in [
            "form=NEW\tlines=1\nworker\tworker=10.0.0.1:1\thealth=draining",
            "form=INCREMENTAL\tlines=1\nworker\tworker=10.0.0.1:1",
        ] {
            let sent = play(SETTINGS, &format!("targets\ti=0\t{news}\n{REQUEST}")).unwrap();
            assert!(
                sent.contains("push_back\ti=0\ttid=5") && !sent.contains("pass_on"),
                "{sent}"
            );
        }
    }
}
