//! Files with the keys that authenticate membership datagrams. Use [`read_key`] for each file in
//! `fleet.keys`.
use std::io;

/// Minimum length of a key, in bytes; a shorter key could be guessed.
const MIN_KEY_BYTES: usize = 16;

/// Error of a key file.
#[derive(Debug, thiserror::Error)]
pub(super) enum KeyFileError {
    #[error("the key file '{path}' cannot be read: {source}")]
    Unreadable { path: String, source: io::Error },
    #[error("the key file '{path}' is not hexadecimal: {source}")]
    NotHexadecimal { path: String, source: hex::FromHexError },
    #[error("the key in '{path}' has {bytes} bytes, the minimum is {MIN_KEY_BYTES}")]
    TooShort { path: String, bytes: usize },
}

/// Reads a key from a file of hexadecimal digits. White space before and after the digits is ignored.
pub(super) fn read_key(path: &str) -> Result<Vec<u8>, KeyFileError> {
    let text = std::fs::read_to_string(path).map_err(|source| KeyFileError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    let key = hex::decode(text.trim()).map_err(|source| KeyFileError::NotHexadecimal {
        path: path.to_owned(),
        source,
    })?;
    if key.len() < MIN_KEY_BYTES {
        return Err(KeyFileError::TooShort {
            path: path.to_owned(),
            bytes: key.len(),
        });
    }
    Ok(key)
}
