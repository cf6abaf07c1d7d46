//! Name-value pairs. A length takes one byte below 128, and four bytes with the highest bit set otherwise.
use std::ops::Range;
use thiserror::Error;

/// Maximum pairs in one message.
const MAX_PAIRS: usize = 128;
/// Lengths from here on take four bytes.
const LONG_LENGTH: u8 = 128;
/// The bit that marks a length of four bytes.
const LONG_LENGTH_BIT: u32 = 1 << 31;

/// Lengths that do not fit the content, or too many pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the parameters are malformed")]
pub struct InvalidParams;

/// Where a pair is in its message.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Pair {
    name: Range<usize>,
    value: Range<usize>,
}

/// The pairs of one message, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Params {
    bytes: Vec<u8>,
    pairs: Vec<Pair>,
}

impl Params {
    /// Reads the pairs of a whole message.
    ///
    /// # Errors
    /// [`InvalidParams`] if lengths do not fit the message or there are too many pairs.
    pub fn read(bytes: Vec<u8>) -> Result<Params, InvalidParams> {
        let mut position = 0;
        let mut pairs = Vec::new();
        while position < bytes.len() {
            let name_length = read_length(&bytes, &mut position).ok_or(InvalidParams)?;
            let value_length = read_length(&bytes, &mut position).ok_or(InvalidParams)?;
            let name_end = position.checked_add(name_length).ok_or(InvalidParams)?;
            let value_end = name_end
                .checked_add(value_length)
                .filter(|&end| end <= bytes.len())
                .ok_or(InvalidParams)?;
            if pairs.len() == MAX_PAIRS {
                return Err(InvalidParams);
            }
            pairs.push(Pair {
                name: position..name_end,
                value: name_end..value_end,
            });
            position = value_end;
        }
        Ok(Params { bytes, pairs })
    }

    /// The value of a name; `None` also for a name given twice, of which two readers might take different values.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut values = self
            .iter()
            .filter(|(pair_name, _)| *pair_name == name.as_bytes())
            .map(|(_, value)| value);
        let first = values.next();
        match values.next() {
            Some(_) => None,
            None => first,
        }
    }

    /// The value of a name as text; `None` also where it is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// All names with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.pairs
            .iter()
            .map(|pair| (&self.bytes[pair.name.clone()], &self.bytes[pair.value.clone()]))
    }
}

fn read_length(bytes: &[u8], position: &mut usize) -> Option<usize> {
    let first = *bytes.get(*position)?;
    if first < LONG_LENGTH {
        *position += 1;
        return Some(usize::from(first));
    }
    let long: [u8; 4] = bytes.get(*position..*position + 4)?.try_into().ok()?;
    *position += long.len();
    usize::try_from(u32::from_be_bytes(long) & !LONG_LENGTH_BIT).ok()
}

fn write_length(out: &mut Vec<u8>, length: usize) {
    match u8::try_from(length) {
        Ok(short) if short < LONG_LENGTH => out.push(short),
        _ => out.extend_from_slice(&(length as u32 | LONG_LENGTH_BIT).to_be_bytes()),
    }
}

/// Writes one pair.
pub fn write_pair(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    write_length(out, name.len());
    write_length(out, value.len());
    out.extend_from_slice(name);
    out.extend_from_slice(value);
}
