//! Time of an event loop's state: since 1970, and steady from its start on.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A loop looks up at least this often: a clock that another process sets ahead is noticed.
const LOOK_UP: Duration = Duration::from_secs(1);

pub struct Clock {
    zero: Instant,
    /// Time since 1970 at `zero`.
    epoch: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { zero: Instant::now(), epoch }
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
        let sockets = sockets.into_iter().flatten().min().map(|due| due.saturating_duration_since(at));
        due.into_iter().chain(sockets).min().unwrap_or(LOOK_UP).min(LOOK_UP)
    }
}
