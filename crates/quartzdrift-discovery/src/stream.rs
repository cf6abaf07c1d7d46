//! Server-sent events, as published in the HTML standard (section 9.2): bytes in, events out.

/// Bytes of one event at most: a list of the greatest size.
const MAX_EVENT: usize = crate::list::MAX_TEXT + 1024;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Its type; `message` where none was told.
    pub name: String,
    pub data: String,
}

#[derive(Debug, Default)]
pub struct Reader {
    line: Vec<u8>,
    name: String,
    data: String,
    any: bool,
    after_return: bool,
}

/// An event was larger than any list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl Reader {
    /// Takes bytes as they come and returns the events that are whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Sent>, TooLarge> {
        let mut sent = Vec::new();
        for &byte in bytes {
            let after_return = std::mem::replace(&mut self.after_return, byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' => {
                    let line = std::mem::take(&mut self.line);
                    sent.extend(self.line(&String::from_utf8_lossy(&line)));
                }
                byte => self.line.push(byte),
            }
            if self.line.len() + self.data.len() > MAX_EVENT {
                return Err(TooLarge);
            }
        }
        Ok(sent)
    }

    fn line(&mut self, line: &str) -> Option<Sent> {
        if line.is_empty() {
            let name = std::mem::take(&mut self.name);
            let mut data = std::mem::take(&mut self.data);
            if !std::mem::take(&mut self.any) {
                return None;
            }
            data.pop();
            return Some(Sent {
                name: if name.is_empty() {
                    "message".to_owned()
                } else {
                    name
                },
                data,
            });
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.name = value.to_owned(),
            "data" => {
                self.data.push_str(value);
                self.data.push('\n');
                self.any = true;
            }
            // Comments, ids and times to wait: a lost stream is taken up again with the whole list.
            _ => {}
        }
        None
    }
}

/// One event as it goes on the wire.
pub fn write(name: &str, data: &str) -> Vec<u8> {
    let mut text = format!("event: {name}\n");
    data.lines()
        .for_each(|line| text.push_str(&format!("data: {line}\n")));
    text.push('\n');
    text.into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    proptest::proptest! {
        #[test]
        fn events_are_read_alike_however_they_are_cut(cut in 1usize..20) {
            let mut reader = Reader::default();
            let text = b": hello\r\nevent: full\r\ndata: [1,\r\ndata: 2]\r\n\r\ndata:x\n\nevent: none\n\n";
            let mut all = Vec::new();
            for part in text.chunks(cut) {
                all.extend(reader.feed(part).unwrap());
            }
            let sent = |name: &str, data: &str| Sent { name: name.into(), data: data.into() };
            proptest::prop_assert_eq!(all, vec![sent("full", "[1,\n2]"), sent("message", "x")]);
        }

        #[test]
        fn what_is_written_is_read(data in "[a-z\\[\\]{}\" ]{1,40}") {
            let sent = Reader::default().feed(&write("changes", &data)).unwrap();
            proptest::prop_assert_eq!(sent, vec![Sent { name: "changes".into(), data }]);
        }
    }

    #[test]
    fn an_endless_line_is_refused() {
        let mut reader = Reader::default();
        let part = vec![b'x'; 1 << 20];
        assert!((0..6).any(|_| reader.feed(&part) == Err(TooLarge)));
    }
}
