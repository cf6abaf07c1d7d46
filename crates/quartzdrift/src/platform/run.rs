//! Starts a scheduler by the platform's configuration and runs it until it is told to stop.
use super::Node;
use crate::{logs, serve};
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use rustix::process::{Resource, getrlimit};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Names the configuration's file in the environment.
const CONFIG: &str = "GW_CONFIG";

/// Runs as the platform starts it, by its environment, and says on standard output where it listens. Signals come
/// first: from the very first moment none of them ends the process.
///
/// # Errors
/// There is no configuration, it cannot be read, or the system does not grant what it asks for.
pub fn start() -> io::Result<()> {
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(io::Error::other)?;
    logs::start_from_environment();
    let named = std::env::var_os(CONFIG).filter(|path| !path.is_empty());
    let path = named.ok_or_else(|| io::Error::other(format!("{CONFIG} names no configuration")))?;
    run(Path::new(&path), signals, |at| serve::announce(&[at]))
}

/// What the file at `path` holds.
pub(super) fn load(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::File::open(path)
        .map_err(|e| e.to_string())
        .and_then(quartzdrift_platform::config::load)
}

/// Serves by the configuration at `path`; `ready` is given the address that is listened at.
fn run(path: &Path, signals: Signals, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let config_error = |message: &str| io::Error::other(format!("{}: {message}", path.display()));
    let config = load(path).and_then(|bytes| quartzdrift_platform::config::read(&bytes));
    let mut config = config.map_err(|e| config_error(&e))?;
    // The system may grant fewer than the configuration tells, or than is taken where it tells none.
    let granted = getrlimit(Resource::Nofile)
        .current
        .map_or(usize::MAX, |most| most as usize);
    if granted < config.sockets {
        tracing::info!(
            configured = config.sockets,
            granted,
            "fewer descriptors than the configuration allows"
        );
        config.sockets = granted;
    }
    let mut event_loop = EventLoop::<Node>::try_new().map_err(io::Error::other)?;
    let handle = event_loop.handle();
    let signal = |event: calloop::signals::Event, _: &mut (), node: &mut Node| match event.signal() {
        Signal::SIGHUP => node.reload(),
        _ => node.stop(),
    };
    handle
        .insert_source(signals, signal)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let (name, listen) = (config.name.clone(), config.listen);
    let mut node = Node::new(config, path.to_owned(), handle);
    let listener = quartzdrift_http::bind(listen, false)
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen at {listen}: {e}")))?;
    let listen = listener.local_addr()?;
    node.listen(listener)?;
    tracing::info!(name, %listen, "listening");
    ready(listen);
    while !node.stopped() {
        let wait = node.next_wait();
        event_loop
            .dispatch(wait.timeout, &mut node)
            .map_err(io::Error::other)?;
        node.turn(wait);
    }
    tracing::info!(counts = ?node.counts, "stopped");
    Ok(())
}
