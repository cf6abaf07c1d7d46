//! Parameters, encoded as name-value pairs. A length below 128 takes one byte; any other length takes four
//! bytes with the highest bit set.
use std::ops::Range;
use thiserror::Error;

/// Maximum number of pairs in one message.
const MAX_PAIRS: usize = 128;
/// Smallest length that is encoded in four bytes.
const MIN_LONG_LENGTH: u8 = 128;
/// Bit that marks a length as encoded in four bytes.
const LONG_LENGTH_BIT: u32 = 1 << 31;

/// Error of decoding parameters: a length does not fit the message, or the message has too many pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "malformed FastCGI parameters: a length exceeds the message, or there are more than {MAX_PAIRS} pairs"
)]
pub struct InvalidParams;

/// Byte ranges of a pair within its message.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PairRanges {
    name: Range<usize>,
    value: Range<usize>,
}

/// The name-value pairs of one message, in the order received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Params {
    bytes: Vec<u8>,
    pairs: Vec<PairRanges>,
}

impl Params {
    /// Decodes the pairs of a complete message.
    ///
    /// # Errors
    /// [`InvalidParams`] if a length does not fit the message or there are too many pairs.
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
            pairs.push(PairRanges {
                name: position..name_end,
                value: name_end..value_end,
            });
            position = value_end;
        }
        Ok(Params { bytes, pairs })
    }

    /// Returns the value of a name. Returns `None` if the name is absent or occurs more than once, because
    /// different programs may then use different values.
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

    /// Returns the value of a name as text, or `None` if [`get`](Self::get) does or the value is not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Bytes of memory that the pairs use.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.bytes.capacity() + self.pairs.capacity() * size_of::<PairRanges>()
    }

    /// Iterates over all names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.pairs
            .iter()
            .map(|pair| (&self.bytes[pair.name.clone()], &self.bytes[pair.value.clone()]))
    }
}

fn read_length(bytes: &[u8], position: &mut usize) -> Option<usize> {
    let first = *bytes.get(*position)?;
    if first < MIN_LONG_LENGTH {
        *position += 1;
        return Some(usize::from(first));
    }
    let long: [u8; 4] = bytes.get(*position..*position + 4)?.try_into().ok()?;
    *position += long.len();
    usize::try_from(u32::from_be_bytes(long) & !LONG_LENGTH_BIT).ok()
}

fn write_length(out: &mut Vec<u8>, length: usize) {
    match u8::try_from(length) {
        Ok(short) if short < MIN_LONG_LENGTH => out.push(short),
        _ => out.extend_from_slice(&(length as u32 | LONG_LENGTH_BIT).to_be_bytes()),
    }
}

/// Encodes one name-value pair and appends it to `out`.
pub fn write_pair(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    write_length(out, name.len());
    write_length(out, value.len());
    out.extend_from_slice(name);
    out.extend_from_slice(value);
}
