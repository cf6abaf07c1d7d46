//! A worker starts on a machine whose wall clock was stepped an hour ahead. Later another worker starts, on a
//! machine with the right time.
use review_standins_2::fleet::Fleet;
use review_standins_2::record::{has_trouble, unix_ms};
use std::time::Duration;

/// The step of the wall clock.
const STEP_MS: u64 = 3_600_000;

fn main() {
    let fleet = Fleet::start(1);
    std::thread::sleep(Duration::from_secs(12));
    let step = if has_trouble() { STEP_MS } else { 0 };
    let first = fleet.replace(&fleet.workers[0], "s-first", || unix_ms() + step);
    // The first one is warm when the second one starts.
    std::thread::sleep(Duration::from_secs(17));
    let second = fleet.replace(&fleet.workers[1], "s-second", unix_ms);
    std::thread::sleep(Duration::from_secs(12));
    fleet.end(&[first, second])
}
