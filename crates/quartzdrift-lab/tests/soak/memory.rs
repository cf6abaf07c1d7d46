//! Measures the private memory of the scheduler process, and kills the process above a limit, as the platform
//! does.
use quartzdrift_lab::cluster_harness::send_signal;
use quartzdrift_lab::measure::memory_mb;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between two measurements.
const INTERVAL: Duration = Duration::from_millis(5);

/// Measures on a thread of its own until it is stopped or the process has ended.
pub struct MemoryWatch {
    stop_requested: Arc<AtomicBool>,
    thread: JoinHandle<f64>,
}

impl MemoryWatch {
    /// Watches a process with a limit in megabytes.
    pub fn start(process: u32, limit_mb: f64) -> MemoryWatch {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let stop = stop_requested.clone();
        let thread = thread::spawn(move || {
            let mut peak_mb: f64 = 0.0;
            while let Some(memory_mb) = private_mb(process)
                && !stop.load(Ordering::Relaxed)
            {
                peak_mb = peak_mb.max(memory_mb);
                if memory_mb > limit_mb {
                    send_signal("-KILL", process);
                    break;
                }
                thread::sleep(INTERVAL);
            }
            peak_mb
        });
        MemoryWatch {
            stop_requested,
            thread,
        }
    }

    /// Returns the highest private memory of the process, in megabytes.
    pub fn stop(self) -> f64 {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.thread.join().expect("the memory watch must not panic")
    }
}

/// Private memory of a process, in megabytes: anonymous and shared pages, without those of its files. `None`
/// if the process has ended.
fn private_mb(process: u32) -> Option<f64> {
    let memory_mb = |field: &str| memory_mb(&process.to_string(), field).ok().flatten();
    Some(memory_mb("RssAnon:")? + memory_mb("RssShmem:")?)
}
