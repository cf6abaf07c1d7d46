//! Events that are passed through to the scheduler without a change to requests, attempts or commands.
use super::table::RequestTable;
use quartzdrift_scheduler::interface::{Event, UsageForecast};
use quartzdrift_scheduler::measure::Measurements;
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// Passes on a forecast of a function's use. The scheduler decides whether to prefetch the function.
    pub fn forecast(&mut self, now: Duration, forecast: UsageForecast) {
        self.advance_clock(now);
        self.notify_scheduler(Event::UsageForecast(forecast));
        self.process_pending_ends();
    }

    /// Restores the measurements of an earlier process, for workers that can be assumed not to have changed
    /// since.
    pub fn restore_measurements(&mut self, now: Duration, measurements: Measurements) {
        self.advance_clock(now);
        self.notify_scheduler(Event::RestoredMeasurements(measurements));
        self.process_pending_ends();
    }

    /// Confirms that the endpoint list, with all updates passed on until now, was current at `as_of`.
    pub fn confirm_endpoints(&mut self, now: Duration, as_of: Duration) {
        self.advance_clock(now);
        self.notify_scheduler(Event::EndpointsConfirmed { as_of });
        self.process_pending_ends();
    }

    /// Reports that a worker closed an idle connection. Has no effect if the worker is not on the endpoint
    /// list.
    pub fn worker_disconnected(&mut self, now: Duration, worker: &str) {
        self.advance_clock(now);
        if self.workers.contains_key(worker) {
            self.notify_scheduler(Event::WorkerDisconnected { worker });
            self.process_pending_ends();
        }
    }

    /// Sets the number of schedulers that share the workers, including this one. It replaces the number in
    /// the settings.
    pub fn set_scheduler_count(&mut self, now: Duration, count: u32) {
        self.advance_clock(now);
        self.notify_scheduler(Event::SchedulerCount(count));
        self.process_pending_ends();
    }

    /// Passes on a message from another scheduler, which is identified by its number `from`.
    pub fn peer_message(&mut self, now: Duration, from: u32, bytes: Vec<u8>) {
        self.advance_clock(now);
        self.notify_scheduler(Event::PeerMessage { from, bytes });
        self.process_pending_ends();
    }
}
