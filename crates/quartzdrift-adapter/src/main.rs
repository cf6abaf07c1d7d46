//! Speaks the simulator's wire on standard input and output for many instances of the decision module,
//! which share nothing. All decisions are the module's; this only translates.
mod wire;

use quartzdrift_choice::choice::Scheduler;
use quartzdrift_choice::interface::*;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::time::Duration;
use wire::Line;

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Scheduler>,
    now: Duration,
    reply: String,
}

impl Host {
    /// Carries out one event; `Err` says what of the line could not be read.
    fn event(&mut self, line: &Line, entries: Vec<Entry>) -> Result<(), String> {
        let need = |key: &'static str| move || format!("'{key}' is missing or unreadable");
        let instance = match line.name {
            "open_instance" | "detach" | "targets" | "req" | "fired" | "sampled" | "answer" | "started"
            | "heard" | "expired" | "stands" => line.count::<u64>("i").ok_or_else(need("i"))?,
            _ => return Ok(()),
        };
        let job = || line.count::<JobId>("tid").ok_or_else(need("tid"));
        let worker = || line.text("worker").ok_or_else(need("worker"));
        let outcome = || line.outcome().ok_or_else(need("disposition"));
        let took = || line.span("cost-time-ns").unwrap_or_default();
        let event = match line.name {
            "open_instance" => {
                let told = line.to_end("boot-info").ok_or_else(need("boot-info"))?;
                let told = serde_json::from_str(told).map_err(|e| format!("'boot-info': {e}"))?;
                let settings = quartzdrift_platform::settings::read(&told);
                let seed = line.count("nonce64").ok_or_else(need("nonce64"))?;
                self.instances.insert(instance, Scheduler::new(&settings, seed));
                return Ok(());
            }
            "detach" => {
                self.instances.remove(&instance);
                return Ok(());
            }
            "targets" => Event::List {
                form: match line.text("form") {
                    Some("INCREMENTAL") => ListForm::Changes,
                    Some("FULL") => ListForm::Full,
                    Some("SAVED") => ListForm::Saved,
                    Some("FAILED") => ListForm::Failed,
                    _ => return Err(need("form")()),
                },
                entries,
            },
            "req" => Event::Job(JobAsked {
                job: job()?,
                workload: line.count("tier-class").unwrap_or(0),
                customer: line.count("user-group").unwrap_or(0),
                function: line.text("image").unwrap_or(""),
                left: line.span("grace-ns").unwrap_or_default(),
                work_hint: line.span("expected-ns"),
                memory_mb: line.number("size-mb"),
                lanes: line.number("lanes"),
                load_hint: line
                    .number("start-ms")
                    .and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok()),
                is_retry: line.flag("is-retry"),
                writes: line.flag("mutates"),
            }),
            "fired" => Event::Timer { mark: line.text("mark").ok_or_else(need("mark"))? },
            "sampled" => {
                Event::Probed { worker: worker()?, outcome: outcome()?, took: took(), report: line.report() }
            }
            "answer" => {
                let (found, crowd) = line.found();
                Event::Ended {
                    job: job()?,
                    execution: line.count("seq-no").unwrap_or(0),
                    worker: worker()?,
                    outcome: outcome()?,
                    took: took(),
                    over: line.flag("no-more"),
                    found,
                    crowd: Some(crowd),
                    report: line.report(),
                }
            }
            "started" => Event::Streaming {
                job: job()?,
                execution: line.count("seq-no").unwrap_or(0),
                worker: worker()?,
                took: took(),
            },
            "heard" => Event::Heard {
                from: line.count("sender").unwrap_or(0),
                bytes: line.text("body").and_then(wire::bytes_of).ok_or_else(need("body"))?,
            },
            "expired" => Event::Expired { job: job()? },
            _ => Event::Loaded {
                worker: worker()?,
                function: line.text("image").ok_or_else(need("image"))?,
                outcome: outcome()?,
                took: took(),
                copies: line.count("n-inst").unwrap_or(0),
            },
        };
        let Some(scheduler) = self.instances.get_mut(&instance) else { return Ok(()) };
        for action in scheduler.handle(self.now, event) {
            let written = wire::write(&mut self.reply, instance, &action);
            written.map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// Works one batch, given without its closing line.
    fn batch(&mut self, text: &str) {
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
            } else if let Err(why) = self.event(&line, entries) {
                eprintln!("cannot read line: {text}: {why}");
            }
        }
        self.reply.push_str("ack\n");
    }
}

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut batch = Vec::new();
    loop {
        let start = batch.len();
        if input.read_until(b'\n', &mut batch)? == 0 {
            return Ok(());
        }
        if batch[start..].trim_ascii_end() == b"commit" {
            host.batch(&String::from_utf8_lossy(&batch[..start]));
            output.write_all(host.reply.as_bytes())?;
            output.flush()?;
            batch.clear();
        }
    }
}
