//! HTTP URLs whose host is a numeric address. Use [`destination`] wherever the settings name a URL to call.
use quartzdrift_discovery::{AddressError, list};
use std::net::SocketAddr;

/// A URL that the gateway cannot call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UrlError {
    /// The scheme is missing or another one.
    #[error("it does not begin with http://")]
    Scheme,
    /// The host and port are no numeric address.
    #[error(transparent)]
    Address(#[from] AddressError),
}

/// Splits a URL like `http://127.0.0.1:8080/path?query` into the address and the request target; the target
/// is `/` where the URL has no path.
///
/// # Errors
///
/// The URL has another scheme, or a host that is no numeric address with a port.
pub fn destination(url: &str) -> Result<(SocketAddr, String), UrlError> {
    let rest = url.strip_prefix("http://").ok_or(UrlError::Scheme)?;
    let path_start = rest.find('/').unwrap_or(rest.len());
    let (authority, path) = rest.split_at(path_start);
    let address = list::parse_address(authority)?;
    let target = if path.is_empty() { "/" } else { path };
    Ok((address, target.to_owned()))
}
