//! Runs a fake on an event loop of its own, in a thread that is told what to do through a channel.
use calloop::channel::{self, Channel, Event as Told, Sender};
use calloop::{EventLoop, LoopHandle};
use quartzdrift_http::{HasHttp, HttpEvent};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub trait Fake: HasHttp {
    type Command: Send + 'static;
    fn handle_event(&mut self, event: HttpEvent);
    fn handle_command(&mut self, command: Self::Command);
    fn next_due(&self) -> Option<Duration>;
    fn run_due(&mut self, now: Duration);
    /// Time since the fake's own start.
    fn now(&self) -> Duration;
    fn stopped(&self) -> bool {
        false
    }
}

/// Runs until the fake says that it has stopped, or every sender is gone.
pub fn run<A: Fake>(
    listener: Option<TcpListener>,
    commands: Option<Channel<A::Command>>,
    make: impl FnOnce(LoopHandle<'static, A>) -> A,
) -> io::Result<()> {
    run_and_finish(listener, commands, make, drop)
}

/// The same, and hands the fake over at the end.
pub fn run_and_finish<A: Fake>(
    listener: Option<TcpListener>,
    commands: Option<Channel<A::Command>>,
    make: impl FnOnce(LoopHandle<'static, A>) -> A,
    end: impl FnOnce(A),
) -> io::Result<()> {
    let mut event_loop = EventLoop::<A>::try_new().map_err(io::Error::other)?;
    let mut actor = make(event_loop.handle());
    if let Some(listener) = listener {
        actor.http().listen(listener)?;
    }
    let gone = std::rc::Rc::new(std::cell::Cell::new(false));
    if let Some(commands) = commands {
        let gone = gone.clone();
        let told = move |told, _: &mut (), actor: &mut A| match told {
            Told::Msg(command) => actor.handle_command(command),
            Told::Closed => gone.set(true),
        };
        event_loop
            .handle()
            .insert_source(commands, told)
            .map_err(|e| io::Error::other(e.to_string()))?;
    }
    while !actor.stopped() && !gone.get() {
        let now = actor.now();
        let due = actor.next_due().map(|at| at.saturating_sub(now));
        let sockets = actor
            .http()
            .next_deadline()
            .map(|at| at.saturating_duration_since(Instant::now()));
        let waits = actor.http().has_events().then_some(Duration::ZERO);
        let wait = [due, sockets, waits].into_iter().flatten().min();
        event_loop.dispatch(wait, &mut actor).map_err(io::Error::other)?;
        actor.http().expire_connections(Instant::now());
        for event in actor.http().take_events() {
            actor.handle_event(event);
        }
        let now = actor.now();
        actor.run_due(now);
    }
    end(actor);
    Ok(())
}

/// A fake in its thread.
pub struct RunningFake<C> {
    pub address: SocketAddr,
    sender: Option<Sender<C>>,
    thread: Option<JoinHandle<()>>,
}

impl<C: Send + 'static> RunningFake<C> {
    pub fn send(&self, command: C) {
        if let Some(sender) = &self.sender {
            // A fake that is gone already has nothing left to be told.
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

/// Starts a fake that listens at `at`.
pub fn spawn<A: Fake>(
    at: SocketAddr,
    make: impl FnOnce(LoopHandle<'static, A>, SocketAddr) -> A + Send + 'static,
) -> io::Result<RunningFake<A::Command>> {
    let listener = quartzdrift_http::bind(at, false)?;
    let address = listener.local_addr()?;
    let (sender, commands) = channel::channel();
    let work = move || {
        if let Err(e) = run(Some(listener), Some(commands), |handle| make(handle, address)) {
            eprintln!("stand-in at {address}: {e}");
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
