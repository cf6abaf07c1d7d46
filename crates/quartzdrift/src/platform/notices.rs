//! Logs the scheduler's notices on the endpoint list and on workers. Lines on workers are limited in number
//! per second.
use super::Node;
use quartzdrift_scheduler::interface::{Notice, WorkerStanding};
use std::net::SocketAddr;
use std::time::Duration;

/// Most lines on workers in each [`WINDOW`]. Lines on the list itself are rare and not limited.
const MAX_LINES_PER_WINDOW: u32 = 20;
/// Window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Rate limit of the log lines on workers.
#[derive(Debug, Default)]
pub(super) struct NoticeRateLimit {
    window_start: Duration,
    /// Lines written since `window_start`.
    lines: u32,
    /// Lines suppressed since the last one that was written.
    suppressed: u64,
}

impl NoticeRateLimit {
    /// Returns the number of lines suppressed since the last one that was written, or `None` if this line is
    /// to be suppressed.
    fn allow_line(&mut self, now: Duration) -> Option<u64> {
        if now >= self.window_start + WINDOW {
            self.window_start = now;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES_PER_WINDOW {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Node {
    /// Logs and counts a notice of the scheduler.
    pub(super) fn log_notice(&mut self, notice: Notice) {
        match notice {
            Notice::LeaseLapsed { age } => self.log_lease_lapse(age),
            Notice::LeaseRenewed { age } => {
                let index = self.coordinator.index();
                tracing::info!(index, ?age, "the endpoint list is current again");
            }
            Notice::UsableWorkers { listed, usable } => self.log_usable_workers(listed, usable),
            Notice::WorkerStanding { worker, standing } => self.log_standing(&worker, standing),
            Notice::WorkerReplaced { worker, address } => self.log_replaced_worker(&worker, address),
        }
    }

    fn log_lease_lapse(&mut self, age: Option<Duration>) {
        self.counts.notices.lease_lapses += 1;
        let index = self.coordinator.index();
        tracing::warn!(
            index,
            ?age,
            "the endpoint list is out of date: only workers that recently accepted work are used"
        );
    }

    fn log_usable_workers(&mut self, listed: usize, usable: usize) {
        if usable > 0 {
            return tracing::info!(listed, usable, "workers are usable again");
        }
        self.counts.notices.times_without_worker += 1;
        tracing::warn!(
            listed,
            "no listed worker is usable: requests are rejected until the endpoint list is confirmed"
        );
    }

    fn log_replaced_worker(&mut self, worker: &str, address: SocketAddr) {
        self.counts.notices.replaced += 1;
        if let Some(suppressed) = self.notice_limit.allow_line(self.now()) {
            tracing::info!(%worker, %address, suppressed, "worker replaced: another one was listed at its address");
        }
    }

    fn log_standing(&mut self, worker: &str, standing: WorkerStanding) {
        self.counts.notices.count_standing(standing);
        if let Some(suppressed) = self.notice_limit.allow_line(self.now()) {
            let why = standing_reason(standing);
            tracing::info!(%worker, ?standing, why, suppressed, "worker standing changed");
        }
    }
}

/// Why a worker has its standing.
fn standing_reason(standing: WorkerStanding) -> &'static str {
    match standing {
        WorkerStanding::Listed => "on the endpoint list, drain grace not over",
        WorkerStanding::Proven => "accepted an attempt within the drain grace",
        WorkerStanding::Suspected => "rejected an attempt",
        WorkerStanding::Unproven => "accepted no attempt within the drain grace, may be draining",
    }
}
