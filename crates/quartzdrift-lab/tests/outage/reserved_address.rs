//! An address that stays bound while no socket listens on it, so that a fake process can be down for a while
//! and listen on the same address again.
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// A bound address on loopback.
pub struct ReservedAddress {
    pub address: SocketAddr,
    /// Socket that is bound to the address and never listens.
    _bound: Socket,
}

impl ReservedAddress {
    /// Binds a free port.
    pub fn any() -> io::Result<ReservedAddress> {
        let bound = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = bound
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("the bound socket has no IP address"))?;
        Ok(ReservedAddress {
            address,
            _bound: bound,
        })
    }
}

/// Returns a non-blocking listener on a reserved address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(address)?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from(socket))
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
