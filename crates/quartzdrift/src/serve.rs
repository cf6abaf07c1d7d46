//! Runs a gateway on its event loop until a signal stops it. Use it from `main`: [`signals`] first, then [`run`].
use crate::gateway::Gateway;
use crate::settings::Settings;
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for the last responses to be sent, once everything has its final answer.
const FLUSH_TIME: Duration = Duration::from_secs(1);
/// Longest wait between two looks at what is still to be flushed.
const FLUSH_POLL: Duration = Duration::from_millis(10);

/// SIGTERM and SIGINT as events. Call it before any thread starts, or that thread takes the signals.
///
/// # Errors
///
/// The signals cannot be blocked, or have no descriptor to be read from.
pub fn signals() -> io::Result<Signals> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(io::Error::other)
}

/// Prints the addresses that a gateway listens at, for programs that wait for them on its standard output.
pub fn announce(addresses: &[SocketAddr]) {
    let mut out = io::stdout();
    // Nobody need read them: a closed standard output does not keep the gateway from serving.
    let _ = addresses
        .iter()
        .try_for_each(|address| writeln!(out, "quartzdrift listens at http://{address}"));
    let _ = out.flush();
}

/// Serves by `settings` until SIGTERM or SIGINT, then drains and returns. `ready` is called with the addresses once the
/// gateway listens.
///
/// # Errors
///
/// The gateway cannot start or listen, or the event loop fails.
pub fn run(settings: Settings, signals: Signals, ready: impl FnOnce(&[SocketAddr])) -> io::Result<()> {
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
    ready(&addresses);
    while !gateway.is_drained() {
        event_loop
            .dispatch(gateway.poll_timeout(), &mut gateway)
            .map_err(io::Error::other)?;
        gateway.process_events();
    }
    gateway.shut_down();
    flush(&mut event_loop, &mut gateway)
}

/// Listens at each address, and returns the addresses with the ports that the system chose.
fn listen(gateway: &mut Gateway, addresses: &[SocketAddr], share_port: bool) -> io::Result<Vec<SocketAddr>> {
    let mut bound = Vec::new();
    for &address in addresses {
        let listener = quartzdrift_http::bind(address, share_port)
            .map_err(|e| io::Error::new(e.kind(), format!("cannot listen at {address}: {e}")))?;
        bound.push(listener.local_addr()?);
        gateway.listen(listener)?;
    }
    Ok(bound)
}

/// Sends the last responses, for [`FLUSH_TIME`] at most.
fn flush(event_loop: &mut EventLoop<Gateway>, gateway: &mut Gateway) -> io::Result<()> {
    let until = Instant::now() + FLUSH_TIME;
    while gateway.has_unsent_responses() && Instant::now() < until {
        event_loop
            .dispatch(FLUSH_POLL, gateway)
            .map_err(io::Error::other)?;
        gateway.discard_events();
    }
    Ok(())
}
