//! Server-sent events, as specified in section 9.2 of the HTML standard. A discovery source uses them to push
//! changes of its endpoint list.

#[cfg(test)]
mod tests;

/// Maximum size of one event, in bytes: the largest endpoint list, plus room for the field names of the
/// event.
const MAX_EVENT_BYTES: usize = crate::list::MAX_LIST_BYTES + 1024;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Type of the event; `message` if the source gave none.
    pub name: String,
    /// Data of the event, with lines joined by `\n`.
    pub data: String,
}

/// Incremental parser of an event stream.
#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    name: String,
    data: String,
    has_data: bool,
    /// Whether the last byte was a carriage return. A line feed that follows belongs to the same line end.
    after_carriage_return: bool,
}

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("server-sent event is larger than the limit of {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

impl EventReader {
    /// Parses the next bytes of the stream and returns the events that they complete.
    ///
    /// # Errors
    /// Returns an error if an event exceeds the maximum size. The stream cannot be parsed any further then.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<ServerSentEvent>, EventTooLarge> {
        let mut events = Vec::new();
        for &byte in bytes {
            let after_carriage_return = std::mem::replace(&mut self.after_carriage_return, byte == b'\r');
            match byte {
                b'\n' if after_carriage_return => {}
                b'\n' | b'\r' => events.extend(self.end_line()),
                byte => self.line.push(byte),
            }
            if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
        }
        Ok(events)
    }

    /// Parses the line that has just ended. An empty line ends an event, which is returned.
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
            // Comments, ids and retry times are ignored: after a stream is lost, the complete list is polled
            // again.
            _ => {}
        }
        None
    }

    /// Returns the event that the parsed fields make up; `None` if it has no data.
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

/// Encodes one event for the stream.
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
