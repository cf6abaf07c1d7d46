//! Logs what the scheduler notices of the endpoint list and of workers, a bounded number of lines a second.
use super::Node;
use quartzdrift_scheduler::interface::{Notice, WorkerStanding};
use std::time::Duration;

/// Most lines on workers in a second; the lines on the list itself are rare.
const MAX_LINES: u32 = 20;
/// The span that they are counted in.
const WINDOW: Duration = Duration::from_secs(1);

/// Bounds the lines on workers.
#[derive(Debug, Default)]
pub(super) struct NoticeLimit {
    window_began: Duration,
    lines: u32,
    suppressed: u64,
}

impl NoticeLimit {
    /// Whether a line may be written; returns how many were not, since the last one that was.
    fn permit(&mut self, now: Duration) -> Option<u64> {
        if now >= self.window_began + WINDOW {
            self.window_began = now;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Node {
    /// Logs and counts what the scheduler has noticed.
    pub(super) fn log_notice(&mut self, notice: Notice) {
        match notice {
            Notice::LeaseLapsed { age } => self.log_lapse(age),
            Notice::LeaseRenewed { age } => {
                let index = self.coordinator.index();
                tracing::info!(index, ?age, "the endpoint list is current again");
            }
            Notice::UsableWorkers { listed, usable } => self.log_usable_workers(listed, usable),
            Notice::WorkerStanding { worker, standing } => self.log_standing(&worker, standing),
        }
    }

    fn log_lapse(&mut self, age: Option<Duration>) {
        self.counts.notices.lease_lapses += 1;
        let index = self.coordinator.index();
        tracing::warn!(
            index,
            ?age,
            "the endpoint list is out of date: only workers that prove themselves are used"
        );
    }

    fn log_usable_workers(&mut self, listed: usize, usable: usize) {
        if usable > 0 {
            return tracing::info!(listed, usable, "workers may be used again");
        }
        self.counts.notices.times_without_worker += 1;
        tracing::warn!(
            listed,
            "no worker is proven: requests are rejected until the coordinator is heard"
        );
    }

    fn log_standing(&mut self, worker: &str, standing: WorkerStanding) {
        self.counts.notices.count_standing(standing);
        if let Some(suppressed) = self.notices.permit(self.now()) {
            tracing::info!(%worker, ?standing, why = reason(standing), suppressed, "worker");
        }
    }
}

/// Why a worker has its standing.
fn reason(standing: WorkerStanding) -> &'static str {
    match standing {
        WorkerStanding::Listed => "the list names it, and the grace runs",
        WorkerStanding::Proven => "it took work within the grace",
        WorkerStanding::Suspected => "it turned an attempt away",
        WorkerStanding::Unproven => "it took nothing within the grace, and may drain",
    }
}
