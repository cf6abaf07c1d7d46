//! The host of the scheduler instances: reads batches of lines, passes events to the instances, and writes
//! the resulting actions.
use crate::error::{HostError, InvalidField, LineError, OpenInstanceError};
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

/// Last line of a batch.
const COMMIT: &[u8] = b"commit";

/// Last line of the reply to a batch.
const ACKNOWLEDGEMENT: &str = "ack\n";

/// Reads batches until the end of the input, and writes a reply to each. Fails if an instance cannot be
/// started.
pub(crate) fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut batch = Vec::new();
    loop {
        let start = batch.len();
        if input.read_until(b'\n', &mut batch)? == 0 {
            return Ok(());
        }
        if batch[start..].trim_ascii_end() == COMMIT {
            let reply = host.process_batch(&String::from_utf8_lossy(&batch[..start]))?;
            output.write_all(reply.as_bytes())?;
            output.flush()?;
            batch.clear();
        }
    }
}

/// The running instances by number, and the current time of the simulation.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Scheduler>,
    now: Duration,
}

impl Host {
    /// Processes the lines of a batch, without its last line, and returns the reply.
    fn process_batch(&mut self, batch: &str) -> Result<String, HostError> {
        let mut reply = String::new();
        let mut lines = batch.lines().peekable();
        while let Some(text) = lines.next() {
            let line = Line::parse(text);
            let entries = if line.name == "targets" {
                parse_entries(&mut lines)
            } else {
                Vec::new()
            };
            let result = match line.name {
                "sync" => self.set_time(&line).map_err(LineError::from),
                "open_instance" => {
                    self.open_instance(&line)?;
                    Ok(())
                }
                "detach" => self.close_instance(&line).map_err(LineError::from),
                name if event::is_event(name) => self.handle_event(&line, entries, &mut reply),
                _ => Ok(()),
            };
            if let Err(error) = result {
                eprintln!("line ignored: {error}: {text}");
            }
        }
        reply.push_str(ACKNOWLEDGEMENT);
        Ok(reply)
    }

    fn set_time(&mut self, line: &Line) -> Result<(), InvalidField> {
        let key = "moment-ns";
        self.now = line.duration(key).ok_or(InvalidField(key))?;
        Ok(())
    }

    fn open_instance(&mut self, line: &Line) -> Result<(), OpenInstanceError> {
        let instance = line.required_integer("i")?;
        let json = serde_json::from_str(line.text_to_end("boot-info").unwrap_or(""))?;
        let settings = quartzdrift_platform::settings::read(&json);
        let settings = settings.map_err(|error| OpenInstanceError::Settings(error.to_string()))?;
        let seed = line.required_integer("nonce64")?;
        self.instances.insert(instance, Scheduler::new(&settings, seed));
        Ok(())
    }

    fn close_instance(&mut self, line: &Line) -> Result<(), InvalidField> {
        let instance: u64 = line.required_integer("i")?;
        self.instances.remove(&instance);
        Ok(())
    }

    /// Passes the event of a line to its instance, and appends the lines of the resulting actions to the
    /// reply.
    fn handle_event(
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

/// Consumes the worker lines that follow an endpoint list, and returns their entries. Ignores lines without a
/// worker's name.
fn parse_entries<'a>(lines: &mut Peekable<Lines<'a>>) -> Vec<Endpoint<'a>> {
    let mut entries = Vec::new();
    while let Some(text) = lines.next_if(|text| Line::parse(text).name == "worker") {
        match Line::parse(text).endpoint() {
            Some(entry) => entries.push(entry),
            None => eprintln!("endpoint list entry without a worker ignored: {text}"),
        }
    }
    entries
}
