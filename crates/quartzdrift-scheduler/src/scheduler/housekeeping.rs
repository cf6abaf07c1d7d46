//! Bounds memory: forgets expired cache entries, idle functions and workers that left long ago.
use super::constants::{GONE_WORKER_RETENTION, SWEEP_INTERVAL};
use crate::interface::EndpointState;
use crate::state::{Scheduler, Worker};

impl Scheduler {
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
        self.function_names.forget_before(self.now.saturating_sub(max_idle), &functions_in_use);
        let in_use = self.workers_in_use();
        let oldest = self.now.saturating_sub(GONE_WORKER_RETENTION + self.settings.slow_start_duration);
        let workers = &mut self.workers;
        self.worker_names.forget(|index| {
            let worker = &workers[index];
            let is_gone = worker.endpoint.state == EndpointState::Gone && worker.gone_since < oldest;
            let forgets = is_gone && !in_use.contains(&index);
            if forgets {
                workers[index] = Worker::new(index);
            }
            forgets
        });
    }
}
