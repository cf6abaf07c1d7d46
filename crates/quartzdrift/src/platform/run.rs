//! Starts a scheduler with the platform's configuration and runs it until a signal stops it.
use super::Node;
use crate::{logs, serve};
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use rustix::process::{Resource, getrlimit};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";

/// Runs a scheduler with the configuration that the environment names, and prints its listen address on
/// standard output. Signals are blocked first, so that none of them ends the process while it starts.
///
/// # Errors
/// The configuration is missing or invalid, or the system refuses a signal descriptor, the event loop or the
/// listener.
pub fn start() -> io::Result<()> {
    let signals =
        Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(io::Error::other)?;
    logs::start_from_environment();
    let path = std::env::var_os(CONFIG_VARIABLE).filter(|path| !path.is_empty());
    let path = path.ok_or_else(|| {
        io::Error::other(format!(
            "environment variable {CONFIG_VARIABLE} is not set or empty"
        ))
    })?;
    run(Path::new(&path), signals, |address| serve::announce(&[address]))
}

/// Loads the bytes of the configuration file at `path`.
pub(super) fn load(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::File::open(path)
        .map_err(|e| e.to_string())
        .and_then(quartzdrift_platform::config::read_bytes)
}

/// Serves with the configuration at `path` until the shutdown is complete. Calls `ready` with the listen
/// address.
fn run(path: &Path, signals: Signals, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let config_error =
        |message: &str| io::Error::other(format!("cannot load configuration {}: {message}", path.display()));
    let config = load(path).and_then(|bytes| quartzdrift_platform::config::parse(&bytes));
    let mut config = config.map_err(|e| config_error(&e))?;
    // The limit of the process may be below the configured number of sockets, or below the default number.
    let granted = getrlimit(Resource::Nofile)
        .current
        .map_or(usize::MAX, |limit| limit as usize);
    if granted < config.max_descriptors {
        tracing::info!(
            configured = config.max_descriptors,
            granted,
            "the descriptor limit of the process is below the configured number of sockets"
        );
        config.max_descriptors = granted;
    }
    let mut event_loop = EventLoop::<Node>::try_new().map_err(io::Error::other)?;
    let handle = event_loop.handle();
    let on_signal = |event: calloop::signals::Event, _: &mut (), node: &mut Node| match event.signal() {
        Signal::SIGHUP => node.reload(),
        _ => node.start_shutdown(),
    };
    handle
        .insert_source(signals, on_signal)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let (name, listen) = (config.name.clone(), config.listen);
    let mut node = Node::new(config, path.to_owned(), handle);
    let listener = quartzdrift_http::bind(listen, false)
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen at {listen}: {e}")))?;
    let listen = listener.local_addr()?;
    node.listen(listener)?;
    tracing::info!(name, %listen, "listening");
    ready(listen);
    while !node.advance_shutdown() {
        let wait = node.next_wait();
        event_loop
            .dispatch(wait.timeout, &mut node)
            .map_err(io::Error::other)?;
        node.turn(wait);
    }
    tracing::info!(counts = ?node.counts, "stopped");
    Ok(())
}
