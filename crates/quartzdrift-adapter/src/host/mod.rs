//! The host: reads batches of lines, passes events to the instances of the scheduler, and writes their actions.
use crate::error::{HostError, LineError, OpenError, UnreadableField};
use crate::line::Line;
use crate::{action, event};
use quartzdrift_scheduler::interface::Endpoint;
use quartzdrift_scheduler::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::iter::Peekable;
use std::str::Lines;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Line that ends a batch.
const COMMIT: &[u8] = b"commit";

/// Line that ends the reply to a batch.
const ACKNOWLEDGEMENT: &str = "ack\n";

/// Replies to each batch of the input, to its end or to settings that cannot be used.
pub(crate) fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut batch = Vec::new();
    loop {
        let start = batch.len();
        if input.read_until(b'\n', &mut batch)? == 0 {
            return Ok(());
        }
        if batch[start..].trim_ascii_end() == COMMIT {
            let reply = host.reply_to(&String::from_utf8_lossy(&batch[..start]))?;
            output.write_all(reply.as_bytes())?;
            output.flush()?;
            batch.clear();
        }
    }
}

/// The instances, and the time that was read last.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Scheduler>,
    now: Duration,
}

impl Host {
    /// Works a batch, given without its last line.
    fn reply_to(&mut self, batch: &str) -> Result<String, HostError> {
        let mut reply = String::new();
        let mut lines = batch.lines().peekable();
        while let Some(text) = lines.next() {
            let line = Line::read(text);
            let entries = if line.name == "targets" {
                read_entries(&mut lines)
            } else {
                Vec::new()
            };
            let worked = match line.name {
                "sync" => self.set_time(&line).map_err(LineError::from),
                "open_instance" => {
                    self.open(&line)?;
                    Ok(())
                }
                "detach" => self.close(&line).map_err(LineError::from),
                name if event::is_event(name) => self.pass_event(&line, entries, &mut reply),
                _ => Ok(()),
            };
            if let Err(error) = worked {
                eprintln!("cannot read line: {text}: {error}");
            }
        }
        reply.push_str(ACKNOWLEDGEMENT);
        Ok(reply)
    }

    fn set_time(&mut self, line: &Line) -> Result<(), UnreadableField> {
        let key = "moment-ns";
        self.now = line.duration(key).ok_or(UnreadableField(key))?;
        Ok(())
    }

    fn open(&mut self, line: &Line) -> Result<(), OpenError> {
        let instance = line.required_integer("i")?;
        let json = serde_json::from_str(line.text_to_end("boot-info").unwrap_or(""))?;
        let settings = quartzdrift_platform::settings::read(&json);
        let settings = settings.map_err(|error| OpenError::Settings(error.to_string()))?;
        let seed = line.required_integer("nonce64")?;
        self.instances.insert(instance, Scheduler::new(&settings, seed));
        Ok(())
    }

    fn close(&mut self, line: &Line) -> Result<(), UnreadableField> {
        let instance: u64 = line.required_integer("i")?;
        self.instances.remove(&instance);
        Ok(())
    }

    /// Passes an event to its instance, and appends the lines for the actions that follow.
    fn pass_event(
        &mut self,
        line: &Line,
        entries: Vec<Endpoint>,
        reply: &mut String,
    ) -> Result<(), LineError> {
        let instance = line.required_integer("i")?;
        let Some(event) = event::decode(line, entries)? else {
            return Ok(());
        };
        let Some(scheduler) = self.instances.get_mut(&instance) else {
            return Ok(());
        };
        for action in scheduler.handle(self.now, event) {
            action::encode(reply, instance, &action)?;
        }
        Ok(())
    }
}

/// The workers that follow an endpoint list; one that cannot be read is left out.
fn read_entries<'a>(lines: &mut Peekable<Lines<'a>>) -> Vec<Endpoint<'a>> {
    let mut entries = Vec::new();
    while let Some(text) = lines.next_if(|text| Line::read(text).name == "worker") {
        match Line::read(text).endpoint() {
            Some(entry) => entries.push(entry),
            None => eprintln!("cannot read list entry: {text}"),
        }
    }
    entries
}
