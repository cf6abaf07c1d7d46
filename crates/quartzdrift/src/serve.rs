//! Runs a gateway on its event loop until it is told to stop.
use crate::gateway::Gateway;
use crate::settings::Settings;
use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use std::io::{self, Write};
use std::time::{Duration, Instant};

/// For the last answers to leave, once all is decided.
const LAST_ANSWERS: Duration = Duration::from_secs(1);

/// SIGTERM and SIGINT as events. To be made before any thread starts, or that thread takes the signals.
pub fn signals() -> io::Result<Signals> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(io::Error::other)
}

/// Prints where a gateway listens, for whoever started it and waits for these lines; if nobody reads them, serving goes on.
pub fn announce(addresses: &[std::net::SocketAddr]) {
    let mut out = io::stdout();
    // Whoever started it may not listen, and it serves all the same.
    let _ = addresses
        .iter()
        .try_for_each(|at| writeln!(out, "quartzdrift listens at http://{at}"));
    let _ = out.flush();
}

/// Serves by `settings`; `ready` is given the addresses that are listened at. SIGTERM and SIGINT stop it: it takes
/// nothing new, ends what is open within the drain time, and returns.
pub fn run(
    settings: Settings,
    signals: Signals,
    ready: impl FnOnce(&[std::net::SocketAddr]),
) -> io::Result<()> {
    let mut event_loop = EventLoop::<Gateway>::try_new().map_err(io::Error::other)?;
    let handle = event_loop.handle();
    let stop = |_, _: &mut (), gateway: &mut Gateway| gateway.start_drain();
    handle
        .insert_source(signals, stop)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let (listen, share_port) = (settings.listen.clone(), settings.share_port);
    let mut gateway = Gateway::new(settings, handle)?;
    let mut addresses = Vec::new();
    for address in listen {
        let listener = quartzdrift_http::bind(address, share_port)
            .map_err(|e| io::Error::new(e.kind(), format!("cannot listen at {address}: {e}")))?;
        addresses.push(listener.local_addr()?);
        gateway.listen(listener)?;
    }
    tracing::info!(?addresses, "listening");
    ready(&addresses);
    while !gateway.is_drained() {
        event_loop
            .dispatch(gateway.poll_timeout(), &mut gateway)
            .map_err(io::Error::other)?;
        gateway.turn();
    }
    gateway.shut_down();
    let until = Instant::now() + LAST_ANSWERS;
    while gateway.has_unsent_responses() && Instant::now() < until {
        event_loop
            .dispatch(Duration::from_millis(10), &mut gateway)
            .map_err(io::Error::other)?;
        gateway.discard_events();
    }
    Ok(())
}
