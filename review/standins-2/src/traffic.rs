//! Open-loop traffic of a front over the schedulers that it has admitted.
use crate::client::{Front, Request};
use crate::record::Random;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Traffic until [`Traffic::end`].
pub struct Traffic {
    pub fronts: Arc<Mutex<Vec<Front>>>,
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Traffic {
    /// Sends `rate` requests a second in the mean, each to one of `fronts` at random. Of the functions in demand
    /// two in five give way to others every ten seconds.
    pub fn start(fronts: Vec<Front>, rate: f64, functions: u64) -> Traffic {
        let fronts = Arc::new(Mutex::new(fronts));
        let is_over = Arc::new(AtomicBool::new(false));
        let (targets, over) = (fronts.clone(), is_over.clone());
        let thread = std::thread::spawn(move || {
            let mut random = Random::new(u64::from(std::process::id()));
            let started = Instant::now();
            let mut next = started;
            while !over.load(Ordering::SeqCst) {
                next += Duration::from_secs_f64(-random.share().ln() / rate);
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                let index = random.next_u64() % functions;
                let shift = if index % 5 < 2 {
                    started.elapsed().as_secs() / 10
                } else {
                    0
                };
                let request = Request {
                    id: random.next_u64(),
                    class: "point-forecast".to_owned(),
                    function: 0xabc0_0000_0000_0000 + shift * 0x1_0000 + index,
                    timeout_ms: 4000,
                    key: None,
                    body: b"station 7".to_vec(),
                };
                let front = {
                    let fronts = targets.lock().unwrap();
                    fronts[random.next_u64() as usize % fronts.len()].clone()
                };
                front.send(request);
            }
        });
        Traffic {
            fronts,
            is_over,
            thread,
        }
    }

    /// Ends the traffic.
    pub fn end(self) {
        self.is_over.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}
