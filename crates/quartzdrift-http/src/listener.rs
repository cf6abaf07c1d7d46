//! Listening sockets.
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Maximum connections that the system queues until they are accepted.
const BACKLOG: i32 = 1024;

/// A listener whose queue of connections is long enough for a flood of them. `shared`: other processes of the same user may
/// listen at the address too, and the system distributes connections among them.
///
/// # Errors
/// Whatever the system reports, such as an address in use.
pub fn bind(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(shared)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
