use super::*;
use calloop::EventLoop;

struct Owner {
    sockets: Sockets<Owner, ()>,
}

#[test]
fn unsent_bytes_of_a_broken_socket_can_be_removed_before_its_owner_is_notified() {
    let event_loop = EventLoop::<Owner>::try_new().unwrap();
    let mut owner = Owner {
        sockets: Sockets::new(event_loop.handle(), |owner| &mut owner.sockets),
    };
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (peer, _) = listener.accept().unwrap();
    let id = owner.sockets.insert(stream, ()).unwrap();
    owner.sockets.output(id).unwrap().extend_from_slice(b"left");
    owner.sockets.flush_socket(id);
    let (from, to) = (4, 9);
    owner.sockets.output(id).unwrap().extend_from_slice(b"frame");
    // The peer resets the connection. The next write fails before the event loop has reported the reset.
    socket2::SockRef::from(&peer)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(peer);
    owner.sockets.flush();
    let socket = owner.sockets.get_mut(id).unwrap();
    assert!(socket.is_broken() && socket.sent_position() == from);
    assert!(
        socket.remove_unsent(from, to),
        "no byte of the frame was sent or will be sent"
    );
    assert!(!socket.remove_unsent(0, 4), "these bytes were sent");
}
