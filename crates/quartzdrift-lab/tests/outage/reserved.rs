//! An address that stays reserved while nobody listens at it, so that a fake can go and come back under it.
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// A reserved address on loopback.
pub struct Reserved {
    pub at: SocketAddr,
    /// Bound and never listened at.
    _holder: Socket,
}

impl Reserved {
    /// Reserves a free port.
    pub fn any() -> io::Result<Reserved> {
        let holder = bound(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let at = holder
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::other("no address"))?;
        Ok(Reserved { at, _holder: holder })
    }
}

/// Listens at a reserved address, without blocking; until the listener is dropped.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = bound(at)?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from(socket))
}

fn bound(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    Ok(socket)
}
