//! Server-sent events, as published in the HTML standard (section 9.2): bytes in, events out. Use it for a list whose source
//! pushes its changes.

#[cfg(test)]
mod tests;

/// Maximum bytes of one event: a list of the greatest size.
const MAX_EVENT: usize = crate::list::MAX_LIST_BYTES + 1024;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Its type; `message` where the source gave none.
    pub name: String,
    /// Its data, with lines joined by `\n`.
    pub data: String,
}

/// Assembles events from the bytes of a stream.
#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    name: String,
    data: String,
    has_data: bool,
    /// Whether the last byte was a carriage return: a line feed after it ends no further line.
    after_carriage_return: bool,
}

/// An event was larger than any list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event was too large")]
pub struct EventTooLarge;

impl EventReader {
    /// Takes bytes as they arrive and returns the events that they complete.
    ///
    /// # Errors
    /// Where an event exceeds the maximum; the stream cannot be read further then.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<ServerSentEvent>, EventTooLarge> {
        let mut events = Vec::new();
        for &byte in bytes {
            let after_carriage_return = std::mem::replace(&mut self.after_carriage_return, byte == b'\r');
            match byte {
                b'\n' if after_carriage_return => {}
                b'\n' | b'\r' => events.extend(self.end_line()),
                byte => self.line.push(byte),
            }
            if self.line.len() + self.data.len() > MAX_EVENT {
                return Err(EventTooLarge);
            }
        }
        Ok(events)
    }

    /// Interprets the line that is complete; an empty one completes an event.
    fn end_line(&mut self) -> Option<ServerSentEvent> {
        let bytes = std::mem::take(&mut self.line);
        let line = String::from_utf8_lossy(&bytes);
        if line.is_empty() {
            return self.end_event();
        }
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.name = value.to_owned(),
            "data" => {
                self.data.push_str(value);
                self.data.push('\n');
                self.has_data = true;
            }
            // Comments, ids and retry times are not needed: after a lost stream the whole list is read again.
            _ => {}
        }
        None
    }

    /// The event whose fields were read; `None` where it has no data.
    fn end_event(&mut self) -> Option<ServerSentEvent> {
        let name = std::mem::take(&mut self.name);
        let mut data = std::mem::take(&mut self.data);
        if !std::mem::take(&mut self.has_data) {
            return None;
        }
        data.pop();
        Some(ServerSentEvent {
            name: if name.is_empty() {
                "message".to_owned()
            } else {
                name
            },
            data,
        })
    }
}

/// One event as it goes on the wire.
pub fn write_event(name: &str, data: &str) -> Vec<u8> {
    let mut text = format!("event: {name}\n");
    for line in data.lines() {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    text.into_bytes()
}
