use super::eviction::PeerActivity;
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

/// Guards against a connection that is closed to make room although bytes are owed to its peer, or its peer has
/// sent some that were not read; and against one that is kept for the unread input of a peer that has gone.
#[test]
fn only_silent_peers_without_unsent_output_and_disconnected_ones_make_room() {
    const TOO_MUCH_FOR_THE_SYSTEM: usize = 64 << 20;
    let event_loop = EventLoop::<Owner>::try_new().unwrap();
    let mut owner = Owner {
        sockets: Sockets::new(event_loop.handle(), |owner| &mut owner.sockets),
    };
    let (unsent, _unsent_peer) = connected(&mut owner);
    let (sent, mut sent_peer) = connected(&mut owner);
    let (first, _first_peer) = connected(&mut owner);
    let (second, _second_peer) = connected(&mut owner);
    let (gone, mut gone_peer) = connected(&mut owner);
    let (unranked, _unranked_peer) = connected(&mut owner);
    let output = owner.sockets.output(unsent).unwrap();
    output.resize(TOO_MUCH_FOR_THE_SYSTEM, 1);
    owner.sockets.flush_socket(unsent);
    io::Write::write_all(&mut sent_peer, b"request").unwrap();
    io::Write::write_all(&mut gone_peer, b"request").unwrap();
    gone_peer.shutdown(Shutdown::Both).unwrap();
    while owner.sockets.peer_activity(sent) != Some(PeerActivity::HasSent)
        || owner.sockets.peer_activity(gone) != Some(PeerActivity::Disconnected)
    {
        std::thread::yield_now();
    }
    let unranked_serial = owner.sockets.get(unranked).unwrap().serial;
    let survey = owner
        .sockets
        .survey(|socket| (socket.serial != unranked_serial).then_some(0));
    assert_eq!(survey.silent, [first, second]);
    assert_eq!(survey.disconnected, [gone]);
    let first_serial = owner.sockets.get(first).unwrap().serial;
    let survey = owner
        .sockets
        .survey(|socket| Some(u8::from(socket.serial == first_serial)));
    assert_eq!(survey.silent, [second, unranked, first]);
}

/// Guards against connections that are accepted before there is room for them, and against a listener that is
/// taken for empty although connections wait.
#[test]
fn each_connection_is_accepted_by_a_call_of_its_own() {
    let event_loop = EventLoop::<Owner>::try_new().unwrap();
    let mut owner = Owner {
        sockets: Sockets::new(event_loop.handle(), |owner| &mut owner.sockets),
    };
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    owner.sockets.listen(listener).unwrap();
    let peers: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(address).unwrap()).collect();
    owner.sockets.mark_listeners_ready();
    let mut round = owner.sockets.begin_accepting().unwrap();
    let accepted = owner.sockets.accept_next(&mut round).unwrap();
    assert_eq!(accepted.peer_addr().unwrap(), peers[0].local_addr().unwrap());
    assert!(owner.sockets.has_waiting_connection(&mut round));
    owner.sockets.end_accepting(&round, |_| false);
    assert!(!owner.sockets.accepted_all(), "two connections wait");
    owner.sockets.mark_listeners_ready();
    let mut round = owner.sockets.begin_accepting().unwrap();
    assert!(owner.sockets.accept_next(&mut round).is_some());
    assert!(owner.sockets.accept_next(&mut round).is_some());
    assert!(!owner.sockets.has_waiting_connection(&mut round));
    owner.sockets.end_accepting(&round, |_| false);
    assert!(owner.sockets.accepted_all());
    assert!(owner.sockets.begin_accepting().is_none());
}
