//! Hexadecimal encoding of the messages between schedulers. `-` stands for an empty message.

/// Returns the decoded bytes; `None`: `text` is neither `-` nor pairs of hexadecimal digits.
pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    if text == "-" {
        return Some(Vec::new());
    }
    let pairs = text.as_bytes().chunks(2);
    pairs
        .map(|pair| Some(digit(pair[0])? << 4 | digit(*pair.get(1)?)?))
        .collect()
}

/// Returns two hexadecimal digits for each byte, or `-` if there are none.
pub(crate) fn encode(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn digit(character: u8) -> Option<u8> {
    char::from(character).to_digit(16).map(|value| value as u8)
}
