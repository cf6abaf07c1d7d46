//! Creation of listening sockets.
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Maximum established connections that the system queues until they are accepted.
const BACKLOG: i32 = 1024;

/// Binds a listener with an accept queue that holds bursts of connections.
///
/// With `reuse_port`, other processes of the same user can listen on the same address and the system
/// distributes connections among them (`SO_REUSEPORT`).
///
/// # Errors
/// Returns the system's error, for example if the address is in use.
pub fn bind(address: SocketAddr, reuse_port: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(reuse_port)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
