//! Parses HTTP URLs whose host is an IP address. Use [`parse_http_url`] for each URL in the settings that the
//! gateway calls.
use quartzdrift_discovery::{AddressError, list};
use std::net::SocketAddr;

/// Error of a URL that the gateway cannot call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UrlError {
    /// The scheme is missing, or is not `http`.
    #[error("the URL does not start with http://")]
    Scheme,
    /// The host is not an IP address, or the port is missing or invalid.
    #[error(transparent)]
    Address(#[from] AddressError),
}

/// Splits a URL like `http://127.0.0.1:8080/path?query` into the address and the request target; the target
/// is `/` if the URL has no path.
///
/// # Errors
///
/// The scheme is not `http`, the host is not an IP address, or the port is missing or invalid.
pub fn parse_http_url(url: &str) -> Result<(SocketAddr, String), UrlError> {
    let rest = url.strip_prefix("http://").ok_or(UrlError::Scheme)?;
    let path_start = rest.find('/').unwrap_or(rest.len());
    let (authority, path) = rest.split_at(path_start);
    let address = list::parse_address(authority)?;
    let target = if path.is_empty() { "/" } else { path };
    Ok((address, target.to_owned()))
}
