//! Files with the keys that sign the datagrams of a fleet. Use [`read_key`] for each file of `fleet.keys`.
use std::io;

/// Minimum bytes of a key; a shorter one can be guessed.
const MIN_KEY_BYTES: usize = 16;

/// A key file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum KeyFileError {
    #[error("the key file '{path}' cannot be read: {source}")]
    Unreadable { path: String, source: io::Error },
    #[error("the key file '{path}' holds no key: {source}")]
    NotHexadecimal { path: String, source: hex::FromHexError },
    #[error("the key in '{path}' has {bytes} bytes; it can be guessed")]
    TooShort { path: String, bytes: usize },
}

/// Reads a key from a file of hexadecimal digits; white space around them is ignored.
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
