//! Measures stalls of the test process, so that delays caused by them do not count against the scheduler.
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time between two measurements.
const TICK: Duration = Duration::from_millis(2);
/// Shortest time between two ticks that counts as a stall.
const SHORTEST_STALL: Duration = Duration::from_millis(5);

/// Start and end of each stall.
type Stalls = Arc<Mutex<Vec<(Instant, Instant)>>>;

/// Records stalls on a thread of its own until it is dropped.
pub struct StallMeter {
    stalls: Stalls,
    stop_requested: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StallMeter {
    pub fn start() -> StallMeter {
        let (stalls, stop_requested) = (Stalls::default(), Arc::new(AtomicBool::new(false)));
        let (recorded, stop) = (stalls.clone(), stop_requested.clone());
        let thread = thread::spawn(move || {
            let mut last = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(TICK);
                let now = Instant::now();
                if now - last >= SHORTEST_STALL {
                    recorded.lock().unwrap().push((last, now));
                }
                last = now;
            }
        });
        let thread = Some(thread);
        StallMeter {
            stalls,
            stop_requested,
            thread,
        }
    }

    /// Returns the total length of all stalls that overlap the time from `from` to `to`.
    pub fn between(&self, from: Instant, to: Instant) -> Duration {
        let stalls = self.stalls.lock().unwrap();
        let overlapping = stalls.iter().filter(|(begin, end)| *end >= from && *begin <= to);
        overlapping.map(|(begin, end)| *end - *begin).sum()
    }
}

impl Drop for StallMeter {
    fn drop(&mut self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
