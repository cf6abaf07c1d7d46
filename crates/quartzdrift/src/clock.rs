//! The clock of an event loop. It counts time since 1970, and does not follow changes of the wall clock
//! after its start.
use quartzdrift_recovery::ClockSample;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum time that an event loop sleeps, so that it notices when another process has set the clock ahead.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The overridden clocks of this process, and the time of the override. Only the test program of the package
/// `quartzdrift-lab` overrides clocks.
static OVERRIDE: OnceLock<(ClockOverride, Instant)> = OnceLock::new();

/// Changes of this process's clocks, for tests.
#[derive(Clone, Debug, Default)]
pub struct ClockOverride {
    /// Time by which the wall clock is set ahead.
    pub ahead: Duration,
    /// Time by which the wall clock is set back.
    pub behind: Duration,
    /// Simulates a reboot of the machine: the boot id, and the time since that boot.
    pub boot: Option<(String, Duration)>,
}

/// Overrides the clocks of this process, for tests with several processes. Call it before an event loop
/// starts; calls after the first have no effect.
pub fn override_clocks(clocks: ClockOverride) {
    drop(OVERRIDE.set((clocks, Instant::now())));
}

fn wall_clock() -> Duration {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    match OVERRIDE.get() {
        Some((clocks, _)) => (wall + clocks.ahead).saturating_sub(clocks.behind),
        None => wall,
    }
}

/// Reads this machine's clocks. The boot id is empty if the system does not report one.
pub fn sample() -> ClockSample {
    let (boot_id, since_boot) = overridden_boot().or_else(system_boot).unwrap_or_default();
    ClockSample {
        wall: wall_clock(),
        boot_id,
        since_boot,
    }
}

fn overridden_boot() -> Option<(String, Duration)> {
    let (clocks, overridden_at) = OVERRIDE.get()?;
    let (boot_id, since_boot) = clocks.boot.as_ref()?;
    Some((boot_id.clone(), *since_boot + overridden_at.elapsed()))
}

/// The kernel's id of this boot, and the time since the boot.
fn system_boot() -> Option<(String, Duration)> {
    let boot_id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let uptime = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let seconds = uptime.split_whitespace().next()?.parse::<f64>().ok()?;
    let since_boot = Duration::try_from_secs_f64(seconds).ok()?;
    Some((boot_id.trim().to_owned(), since_boot))
}

/// A monotonic clock that counts time since 1970.
pub struct Clock {
    started: Instant,
    /// Time since 1970 at `started`.
    time_at_start: Duration,
}

impl Clock {
    /// Starts a clock at the time of the wall clock.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
            time_at_start: wall_clock(),
        }
    }

    /// Starts a clock that continues from the sample `before` of the previous run, and never runs backwards.
    /// Without a previous run, it starts at the time of the wall clock.
    pub fn resume(now: &ClockSample, before: Option<&ClockSample>) -> Clock {
        Clock {
            started: Instant::now(),
            time_at_start: before.map_or(now.wall, |before| now.steady_time(before)),
        }
    }

    /// A sample for [`Clock::resume`] in the next run.
    pub fn sample(&self) -> ClockSample {
        ClockSample {
            wall: self.now(),
            ..sample()
        }
    }

    /// Time since 1970.
    pub fn now(&self) -> Duration {
        self.time_at(Instant::now())
    }

    /// Time since 1970 at an instant; the start of this clock for earlier instants.
    pub fn time_at(&self, instant: Instant) -> Duration {
        self.time_at_start + instant.saturating_duration_since(self.started)
    }

    /// Time until the earliest of the `deadlines`, which are times of this clock, and of the
    /// `socket_deadlines`. At most `MAX_SLEEP`.
    pub fn time_until_next(
        &self,
        deadlines: impl IntoIterator<Item = Option<Duration>>,
        socket_deadlines: impl IntoIterator<Item = Option<Instant>>,
    ) -> Duration {
        let now = self.now();
        let now_instant = Instant::now();
        let next_deadline = deadlines.into_iter().flatten().min();
        let next_socket_deadline = socket_deadlines.into_iter().flatten().min();
        let until_deadline = next_deadline.map(|deadline| deadline.saturating_sub(now));
        let until_socket_deadline =
            next_socket_deadline.map(|deadline| deadline.saturating_duration_since(now_instant));
        until_deadline
            .into_iter()
            .chain(until_socket_deadline)
            .fold(MAX_SLEEP, Duration::min)
    }
}
