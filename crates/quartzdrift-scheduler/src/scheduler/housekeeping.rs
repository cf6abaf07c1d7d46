//! Periodic removal of expired cache entries, of names of idle functions and of workers gone for long, which
//! bounds the scheduler's memory.
use super::constants::{GONE_WORKER_RETENTION, SWEEP_INTERVAL};
use crate::interface::EndpointState;
use crate::state::{Scheduler, Worker};

impl Scheduler {
    /// Removes expired state once per [`SWEEP_INTERVAL`].
    pub(super) fn sweep_if_due(&mut self) {
        if self.now < self.last_sweep_at + SWEEP_INTERVAL {
            return;
        }
        self.last_sweep_at = self.now;
        for worker in &mut self.workers {
            worker.cache.retain(|_, entry| entry.expires_at() > self.now);
        }
        let max_idle = SWEEP_INTERVAL + self.settings.keep_alive * 2;
        let functions_in_use = self.functions_in_use();
        self.function_names.remove_unused_since(self.now.saturating_sub(max_idle), &functions_in_use);
        let in_use = self.workers_in_use();
        let oldest = self.now.saturating_sub(GONE_WORKER_RETENTION + self.settings.slow_start_duration);
        let workers = &mut self.workers;
        self.worker_names.remove_if(|index| {
            let worker = &workers[index];
            let is_gone = worker.endpoint.state == EndpointState::Gone && worker.gone_since < oldest;
            let is_removable = is_gone && !in_use.contains(&index);
            if is_removable {
                workers[index] = Worker::new(index);
            }
            is_removable
        });
    }
}
