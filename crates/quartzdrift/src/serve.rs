//! Runs a gateway on its event loop until SIGTERM or SIGINT. Call [`signals`] before any thread starts, then
//! [`run`].
use crate::gateway::Gateway;
use crate::settings::Settings;
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum time to send the last responses, after all requests have concluded.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for events between two checks for unsent responses.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Creates an event source for SIGTERM and SIGINT. Call it before any other thread starts: it blocks the
/// signals in the calling thread, and threads that exist already would still receive them.
///
/// # Errors
///
/// The signals cannot be blocked, or no descriptor can be created to read them from.
pub fn signals() -> io::Result<Signals> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(io::Error::other)
}

/// Prints the addresses that a gateway listens on to standard output, for programs that start the gateway and
/// wait for these lines.
pub fn announce(addresses: &[SocketAddr]) {
    let mut output = io::stdout();
    // The gateway serves even if standard output is closed.
    let _ = addresses
        .iter()
        .try_for_each(|address| writeln!(output, "quartzdrift listens at http://{address}"));
    let _ = output.flush();
}

/// Runs a gateway with `settings` until SIGTERM or SIGINT, then drains it and returns. Calls `on_listening`
/// with the addresses as soon as the gateway accepts connections.
///
/// # Errors
///
/// The gateway cannot start or listen, or the event loop fails.
pub fn run(settings: Settings, signals: Signals, on_listening: impl FnOnce(&[SocketAddr])) -> io::Result<()> {
    let mut event_loop = EventLoop::<Gateway>::try_new().map_err(io::Error::other)?;
    let handle = event_loop.handle();
    let drain = |_, _: &mut (), gateway: &mut Gateway| gateway.start_drain();
    handle
        .insert_source(signals, drain)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let listen_addresses = settings.listen.clone();
    let share_port = settings.share_port;
    let mut gateway = Gateway::new(settings, handle)?;
    let addresses = listen(&mut gateway, &listen_addresses, share_port)?;
    tracing::info!(?addresses, "listening");
    on_listening(&addresses);
    while !gateway.is_drained() {
        event_loop
            .dispatch(gateway.poll_timeout(), &mut gateway)
            .map_err(io::Error::other)?;
        gateway.turn();
    }
    gateway.shut_down();
    flush(&mut event_loop, &mut gateway)
}

/// Listens on each address. Returns the addresses with the ports that the system chose for port 0.
fn listen(gateway: &mut Gateway, addresses: &[SocketAddr], share_port: bool) -> io::Result<Vec<SocketAddr>> {
    let mut bound = Vec::new();
    for &address in addresses {
        let listener = quartzdrift_http::bind(address, share_port)
            .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))?;
        bound.push(listener.local_addr()?);
        gateway.listen(listener)?;
    }
    Ok(bound)
}

/// Sends the last responses. Returns after at most [`FLUSH_TIMEOUT`], even if some are unsent.
fn flush(event_loop: &mut EventLoop<Gateway>, gateway: &mut Gateway) -> io::Result<()> {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while gateway.has_unsent_responses() && Instant::now() < deadline {
        event_loop
            .dispatch(FLUSH_POLL_INTERVAL, gateway)
            .map_err(io::Error::other)?;
        gateway.discard_events();
    }
    Ok(())
}
