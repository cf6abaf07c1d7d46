//! How long the test itself stood still. What it saw late by such a stall is not held against the program.
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(2);
/// Gaps between two ticks from here on are stalls.
const SHORTEST_STALL: Duration = Duration::from_millis(5);

/// The beginning and the end of each stall.
type Gaps = Arc<Mutex<Vec<(Instant, Instant)>>>;

/// Watches for stalls, in a thread of its own, while it lives.
pub struct StallMeter {
    gaps: Gaps,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StallMeter {
    pub fn start() -> StallMeter {
        let (gaps, over) = (Gaps::default(), Arc::new(AtomicBool::new(false)));
        let (seen, stop) = (gaps.clone(), over.clone());
        let thread = thread::spawn(move || {
            let mut last = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(TICK);
                let now = Instant::now();
                if now - last >= SHORTEST_STALL {
                    seen.lock().unwrap().push((last, now));
                }
                last = now;
            }
        });
        let thread = Some(thread);
        StallMeter { gaps, over, thread }
    }

    /// The time of all stalls that touch the span between two moments.
    pub fn between(&self, from: Instant, to: Instant) -> Duration {
        let gaps = self.gaps.lock().unwrap();
        let touching = gaps.iter().filter(|(begin, end)| *end >= from && *begin <= to);
        touching.map(|(begin, end)| *end - *begin).sum()
    }
}

impl Drop for StallMeter {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
