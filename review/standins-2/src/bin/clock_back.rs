//! A worker starts again under its uid, twice. Before the second start its machine's wall clock was stepped an
//! hour back, so that the start time in the list is earlier than that of the start before.
use review_standins_2::fleet::Fleet;
use review_standins_2::record::{has_trouble, unix_ms};
use std::time::Duration;

/// The step of the wall clock.
const STEP_MS: u64 = 3_600_000;

fn main() {
    let fleet = Fleet::start(1);
    std::thread::sleep(Duration::from_secs(12));
    let first = fleet.replace(&fleet.workers[0], "s-0", unix_ms);
    // The worker is warm when it starts again.
    std::thread::sleep(Duration::from_secs(17));
    let step = if has_trouble() { STEP_MS } else { 0 };
    let second = fleet.replace(&first, "s-0", || unix_ms() - step);
    std::thread::sleep(Duration::from_secs(12));
    fleet.end(&[first, second])
}
