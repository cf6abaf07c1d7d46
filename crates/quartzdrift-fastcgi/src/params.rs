//! Name-value pairs, as published: lengths of one byte below 128, else of four with the highest bit set.

/// Pairs in one message at most.
const MAX_PAIRS: usize = 128;

/// Lengths that do not fit what came, or too many pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadParams;

/// The pairs of one message, kept as they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Params {
    bytes: Vec<u8>,
    /// Where each name begins and ends, and where its value ends.
    pairs: Vec<(usize, usize, usize)>,
}

fn length(bytes: &[u8], at: &mut usize) -> Option<usize> {
    let first = *bytes.get(*at)?;
    if first < 128 {
        *at += 1;
        return Some(usize::from(first));
    }
    let four = bytes.get(*at..*at + 4)?;
    *at += 4;
    let length = u32::from_be_bytes([four[0] & 0x7f, four[1], four[2], four[3]]);
    usize::try_from(length).ok()
}

impl Params {
    pub fn read(bytes: Vec<u8>) -> Result<Params, BadParams> {
        let (mut at, mut pairs) = (0, Vec::new());
        while at < bytes.len() {
            let name = length(&bytes, &mut at).ok_or(BadParams)?;
            let value = length(&bytes, &mut at).ok_or(BadParams)?;
            let name_end = at.checked_add(name).ok_or(BadParams)?;
            let end = name_end
                .checked_add(value)
                .filter(|&end| end <= bytes.len())
                .ok_or(BadParams)?;
            if pairs.len() == MAX_PAIRS {
                return Err(BadParams);
            }
            pairs.push((at, name_end, end));
            at = end;
        }
        Ok(Params { bytes, pairs })
    }

    /// The value under a name; `None` also where it is given twice, as two readers might take another one each.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut found = self.iter().filter(|(n, _)| *n == name.as_bytes());
        let first = found.next();
        if found.next().is_some() {
            None
        } else {
            first.map(|(_, value)| value)
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.pairs
            .iter()
            .map(|&(from, mid, to)| (&self.bytes[from..mid], &self.bytes[mid..to]))
    }
}

fn write_length(out: &mut Vec<u8>, length: usize) {
    match u8::try_from(length) {
        Ok(short) if short < 128 => out.push(short),
        _ => out.extend_from_slice(&(length as u32 | 1 << 31).to_be_bytes()),
    }
}

/// Writes one pair.
pub fn write_pair(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    write_length(out, name.len());
    write_length(out, value.len());
    out.extend_from_slice(name);
    out.extend_from_slice(value);
}
