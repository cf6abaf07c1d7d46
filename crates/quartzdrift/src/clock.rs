//! Time of an event loop's state: since 1970, and steady from its start on.
use quartzdrift_recovery::ClockSample;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An event loop wakes at least this often, to notice that another process has set the clock ahead.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The clocks that a test has set for this process, and since when. Only the lab's program sets them.
static OVERRIDE: OnceLock<(ClockOverride, Instant)> = OnceLock::new();

/// How a test changes the clocks of this process.
#[derive(Clone, Debug, Default)]
pub struct ClockOverride {
    /// How far the wall clock is ahead.
    pub ahead: Duration,
    /// How far the wall clock is behind.
    pub behind: Duration,
    /// As if the machine had been rebooted: the boot's name, and how long it is up.
    pub boot: Option<(String, Duration)>,
}

/// Sets the clocks of this process, for tests with several processes. Once, before anything starts; later calls do nothing.
pub fn override_clocks(to: ClockOverride) {
    drop(OVERRIDE.set((to, Instant::now())));
}

fn wall_clock() -> Duration {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    match OVERRIDE.get() {
        Some((clocks, _)) => (wall + clocks.ahead).saturating_sub(clocks.behind),
        None => wall,
    }
}

/// What this machine's clocks say; where the system does not tell its boot, none is named.
pub fn sample() -> ClockSample {
    let (boot_id, since_boot) = overridden_boot().or_else(system_boot).unwrap_or_default();
    ClockSample {
        wall: wall_clock(),
        boot_id,
        since_boot,
    }
}

fn overridden_boot() -> Option<(String, Duration)> {
    let (clocks, since) = OVERRIDE.get()?;
    let (boot, up) = clocks.boot.as_ref()?;
    Some((boot.clone(), *up + since.elapsed()))
}

/// The kernel's identifier of this boot, and the time since.
fn system_boot() -> Option<(String, Duration)> {
    let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let uptime = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let seconds = uptime.split_whitespace().next()?.parse::<f64>().ok()?;
    let since_boot = Duration::try_from_secs_f64(seconds).ok()?;
    Some((boot.trim().to_owned(), since_boot))
}

/// A steady clock that tells time since 1970.
pub struct Clock {
    zero: Instant,
    /// Time since 1970 at `zero`.
    epoch: Duration,
}

impl Clock {
    /// A clock that starts from the wall clock.
    pub fn start() -> Clock {
        Clock {
            zero: Instant::now(),
            epoch: wall_clock(),
        }
    }

    /// A clock that continues from the last run's sample, whatever the wall clock was set to since.
    pub fn resume(now: &ClockSample, before: Option<&ClockSample>) -> Clock {
        Clock {
            zero: Instant::now(),
            epoch: before.map_or(now.wall, |before| now.steady_time(before)),
        }
    }

    /// The sample for the next start to continue from.
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

    /// Time since 1970 at a moment.
    pub fn time_at(&self, moment: Instant) -> Duration {
        self.epoch + moment.saturating_duration_since(self.zero)
    }

    /// How long an event loop may sleep: until the first of what is `due` by this clock, and of the `sockets`' deadlines.
    pub fn time_until_next(
        &self,
        due: impl IntoIterator<Item = Option<Duration>>,
        sockets: impl IntoIterator<Item = Option<Instant>>,
    ) -> Duration {
        let now = self.now();
        let now_instant = Instant::now();
        let next_due = due.into_iter().flatten().min();
        let next_deadline = sockets.into_iter().flatten().min();
        let until_due = next_due.map(|due| due.saturating_sub(now));
        let until_deadline = next_deadline.map(|at| at.saturating_duration_since(now_instant));
        until_due
            .into_iter()
            .chain(until_deadline)
            .fold(MAX_SLEEP, Duration::min)
    }
}
