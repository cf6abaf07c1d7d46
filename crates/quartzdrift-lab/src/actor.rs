//! Runs a fake on its own event loop, in a thread that receives commands over a channel.
use calloop::channel::{self, Channel, Event as ChannelEvent, Sender};
use calloop::{EventLoop, LoopHandle};
use quartzdrift_http::{HasHttp, HttpEvent};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A fake of a process that gateways talk to. It reacts to events on its sockets, to commands and to its
/// timers.
pub trait Fake: HasHttp {
    /// Command that the owner of the fake can send to it.
    type Command: Send + 'static;
    fn handle_event(&mut self, event: HttpEvent);
    fn handle_command(&mut self, command: Self::Command);
    /// Time at which [`Fake::run_due`] must be called next, on the clock of [`Fake::now`].
    fn next_due(&self) -> Option<Duration>;
    /// Performs the actions that are due at `now`.
    fn run_due(&mut self, now: Duration);
    /// Time since the fake's start, or since the start of the recorder that it shares.
    fn now(&self) -> Duration;
    /// Whether the fake has finished, so that its event loop ends.
    fn stopped(&self) -> bool {
        false
    }
}

/// Runs a fake until it has stopped, or until every sender of commands is dropped.
pub fn run<A: Fake>(
    listener: Option<TcpListener>,
    commands: Option<Channel<A::Command>>,
    make: impl FnOnce(LoopHandle<'static, A>) -> A,
) -> io::Result<()> {
    run_and_finish(listener, commands, make, drop)
}

/// Like [`run`], and passes the fake to `finish` when it has ended.
pub fn run_and_finish<A: Fake>(
    listener: Option<TcpListener>,
    commands: Option<Channel<A::Command>>,
    make: impl FnOnce(LoopHandle<'static, A>) -> A,
    finish: impl FnOnce(A),
) -> io::Result<()> {
    let mut event_loop = EventLoop::<A>::try_new().map_err(io::Error::other)?;
    let mut fake = make(event_loop.handle());
    if let Some(listener) = listener {
        fake.http().listen(listener)?;
    }
    let senders_dropped = std::rc::Rc::new(std::cell::Cell::new(false));
    if let Some(commands) = commands {
        let senders_dropped = senders_dropped.clone();
        let receive = move |event, _: &mut (), fake: &mut A| match event {
            ChannelEvent::Msg(command) => fake.handle_command(command),
            ChannelEvent::Closed => senders_dropped.set(true),
        };
        event_loop
            .handle()
            .insert_source(commands, receive)
            .map_err(|e| io::Error::other(e.to_string()))?;
    }
    while !fake.stopped() && !senders_dropped.get() {
        let now = fake.now();
        let due_in = fake.next_due().map(|at| at.saturating_sub(now));
        let sockets_due_in = fake
            .http()
            .next_deadline()
            .map(|at| at.saturating_duration_since(Instant::now()));
        let events_pending = fake.http().has_events().then_some(Duration::ZERO);
        let timeout = [due_in, sockets_due_in, events_pending]
            .into_iter()
            .flatten()
            .min();
        event_loop
            .dispatch(timeout, &mut fake)
            .map_err(io::Error::other)?;
        fake.http().expire_connections(Instant::now());
        for event in fake.http().take_events() {
            fake.handle_event(event);
        }
        let now = fake.now();
        fake.run_due(now);
    }
    finish(fake);
    Ok(())
}

/// A fake that runs in its own thread. Dropping this stops the fake and waits for the thread.
pub struct RunningFake<C> {
    pub address: SocketAddr,
    sender: Option<Sender<C>>,
    thread: Option<JoinHandle<()>>,
}

impl<C: Send + 'static> RunningFake<C> {
    /// Sends a command to the fake; does nothing if the fake has already ended.
    pub fn send(&self, command: C) {
        if let Some(sender) = &self.sender {
            // Sending fails only if the fake has ended.
            let _ = sender.send(command);
        }
    }
}

impl<C> Drop for RunningFake<C> {
    fn drop(&mut self) {
        self.sender.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a fake in a new thread. It listens at `address`; `make` is called with the actual address.
pub fn spawn<A: Fake>(
    address: SocketAddr,
    make: impl FnOnce(LoopHandle<'static, A>, SocketAddr) -> A + Send + 'static,
) -> io::Result<RunningFake<A::Command>> {
    let listener = quartzdrift_http::bind(address, false)?;
    let address = listener.local_addr()?;
    let (sender, commands) = channel::channel();
    let work = move || {
        if let Err(e) = run(Some(listener), Some(commands), |handle| make(handle, address)) {
            eprintln!("fake at {address} failed: {e}");
        }
    };
    let thread = std::thread::Builder::new()
        .name("stand-in".to_owned())
        .spawn(work)?;
    Ok(RunningFake {
        address,
        sender: Some(sender),
        thread: Some(thread),
    })
}
