use super::*;
use calloop::EventLoop;

struct Owner {
    sockets: Sockets<Owner, ()>,
}

/// A connected socket of the owner, and its peer.
fn connected(owner: &mut Owner) -> (SocketId, TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (peer, _) = listener.accept().unwrap();
    (owner.sockets.insert(stream, ()).unwrap(), peer)
}

/// Guards against unread input that the owner takes for read, and against a peer that is read again before
/// those that wait for longer.
#[test]
fn a_read_is_bounded_and_sockets_that_wait_for_longer_come_first() {
    let event_loop = EventLoop::<Owner>::try_new().unwrap();
    let mut owner = Owner {
        sockets: Sockets::new(event_loop.handle(), |owner| &mut owner.sockets).with_max_read(64),
    };
    let (busy, mut busy_peer) = connected(&mut owner);
    let (waiting, _waiting_peer) = connected(&mut owner);
    io::Write::write_all(&mut busy_peer, &[7; 100]).unwrap();
    while owner.sockets.get(busy).unwrap().input.is_empty() {
        owner.sockets.try_read(busy);
    }
    let socket = owner.sockets.get(busy).unwrap();
    assert_eq!(socket.input.len(), 64);
    assert!(socket.may_have_unread());
    owner.sockets.queue_ready_first(VecDeque::from([waiting]));
    assert_eq!(owner.sockets.take_ready(), [waiting, busy]);
    owner.sockets.read(busy);
    let socket = owner.sockets.get(busy).unwrap();
    assert_eq!(socket.input.len(), 100);
    assert!(!socket.may_have_unread());
}

/// Guards against a buffer that grows as long as a peer leaves anything unread.
#[test]
fn output_that_the_system_has_accepted_does_not_stay_in_memory() {
    const CHUNK_BYTES: usize = 64 << 10;
    const MAX_ROUNDS: usize = 1000;
    let event_loop = EventLoop::<Owner>::try_new().unwrap();
    let mut owner = Owner {
        sockets: Sockets::new(event_loop.handle(), |owner| &mut owner.sockets),
    };
    let (id, mut peer) = connected(&mut owner);
    let mut unsent = 0;
    for _ in 0..MAX_ROUNDS {
        owner
            .sockets
            .output(id)
            .unwrap()
            .extend_from_slice(&[1; CHUNK_BYTES]);
        owner.sockets.flush_socket(id);
        unsent = owner.sockets.get(id).unwrap().unsent_bytes();
        if unsent > CHUNK_BYTES {
            io::Read::read_exact(&mut peer, &mut [0; CHUNK_BYTES]).unwrap();
        }
        let capacity = owner.sockets.get(id).unwrap().output_capacity();
        // At most half of the buffer is sent, and its capacity is at most twice its content.
        let limit = 4 * (unsent + CHUNK_BYTES);
        assert!(capacity <= limit, "{capacity} bytes for {unsent} unsent ones");
    }
    assert!(unsent > 0, "the peer never left anything unread");
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
