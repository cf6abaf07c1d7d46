//! Time of an event loop's state: since 1970, and steady from its start on.
use quartzdrift_recovery::Moment;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How far a test has set this process's clock, and its name for the machine's run. Only the lab's program sets it; this
/// package's own has no way to.
static SET: OnceLock<(Set, Instant)> = OnceLock::new();

#[derive(Clone, Debug, Default)]
pub struct Set {
    pub ahead: Duration,
    pub behind: Duration,
    /// As if the machine had been started anew: its run's name, and how long it is on.
    pub boot: Option<(String, Duration)>,
}

/// For tests on several processes: sets the wall clock of this one. Once, before anything starts; later calls do nothing.
pub fn set(to: Set) {
    drop(SET.set((to, Instant::now())));
}

fn wall() -> Duration {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    SET.get()
        .map_or(wall, |(set, _)| (wall + set.ahead).saturating_sub(set.behind))
}

/// What this machine's clocks say; where the system does not tell its run, none is named.
pub fn moment() -> Moment {
    let read = |name: &str| std::fs::read_to_string(name).unwrap_or_default();
    if let Some((
        Set {
            boot: Some((boot, on)),
            ..
        },
        since,
    )) = SET.get()
    {
        return Moment {
            wall: wall(),
            boot: boot.clone(),
            since_boot: *on + since.elapsed(),
        };
    }
    let boot = read("/proc/sys/kernel/random/boot_id").trim().to_owned();
    let up = read("/proc/uptime")
        .split_whitespace()
        .next()
        .and_then(|s| s.parse::<f64>().ok());
    let since_boot = up.and_then(|s| Duration::try_from_secs_f64(s).ok());
    let boot = if since_boot.is_some() { boot } else { String::new() };
    Moment {
        wall: wall(),
        boot,
        since_boot: since_boot.unwrap_or_default(),
    }
}

/// A loop looks up at least this often: a clock that another process sets ahead is noticed.
const LOOK_UP: Duration = Duration::from_secs(1);

pub struct Clock {
    zero: Instant,
    /// Time since 1970 at `zero`.
    epoch: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        Clock {
            zero: Instant::now(),
            epoch: wall(),
        }
    }

    /// A clock that goes on from what was noted before, whatever the wall clock was set to since.
    pub fn resume(now: &Moment, before: Option<&Moment>) -> Clock {
        Clock {
            zero: Instant::now(),
            epoch: before.map_or(now.wall, |before| now.steady(before)),
        }
    }

    /// The moment for the next start to go on from.
    pub fn note(&self) -> Moment {
        Moment {
            wall: self.now(),
            ..moment()
        }
    }

    pub fn now(&self) -> Duration {
        self.epoch + self.zero.elapsed()
    }

    /// How long a loop may sleep until the first of what is due by this clock, and of what is due on sockets.
    pub fn until(
        &self,
        due: impl IntoIterator<Item = Option<Duration>>,
        sockets: impl IntoIterator<Item = Option<Instant>>,
    ) -> Duration {
        let (now, at) = (self.now(), Instant::now());
        let due = due.into_iter().flatten().min().map(|due| due.saturating_sub(now));
        let sockets = sockets
            .into_iter()
            .flatten()
            .min()
            .map(|due| due.saturating_duration_since(at));
        due.into_iter()
            .chain(sockets)
            .min()
            .unwrap_or(LOOK_UP)
            .min(LOOK_UP)
    }
}
