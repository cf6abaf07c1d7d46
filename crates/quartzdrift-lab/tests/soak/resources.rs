//! Measures the private memory and the descriptors of the scheduler process, and kills the process above its
//! memory limit, as the platform does.
use quartzdrift_lab::cluster_harness::send_signal;
use quartzdrift_lab::measure::memory_mb;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between two measurements.
const INTERVAL: Duration = Duration::from_millis(5);

/// The largest values that were measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peaks {
    /// Private memory in megabytes.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Measures on a thread of its own until it is stopped or the process has ended.
pub struct ResourceWatch {
    stop_requested: Arc<AtomicBool>,
    thread: JoinHandle<Peaks>,
}

impl ResourceWatch {
    /// Watches a process with a limit in megabytes.
    pub fn start(process: u32, limit_mb: f64) -> ResourceWatch {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let stop = stop_requested.clone();
        let thread = thread::spawn(move || {
            let mut peaks = Peaks::default();
            while let Some(memory_mb) = private_mb(process)
                && !stop.load(Ordering::Relaxed)
            {
                peaks.memory_mb = peaks.memory_mb.max(memory_mb);
                peaks.descriptors = peaks.descriptors.max(open_descriptors(process));
                if memory_mb > limit_mb {
                    send_signal("-KILL", process);
                    break;
                }
                thread::sleep(INTERVAL);
            }
            peaks
        });
        ResourceWatch {
            stop_requested,
            thread,
        }
    }

    /// Returns the largest values of the process.
    pub fn stop(self) -> Peaks {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.thread.join().expect("the watch must not panic")
    }
}

/// Number of open file descriptors of a process; 0 if it has ended.
fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Private memory of a process, in megabytes: anonymous and shared pages, without those of its files. `None`
/// if the process has ended.
fn private_mb(process: u32) -> Option<f64> {
    let memory_mb = |field: &str| memory_mb(&process.to_string(), field).ok().flatten();
    Some(memory_mb("RssAnon:")? + memory_mb("RssShmem:")?)
}
