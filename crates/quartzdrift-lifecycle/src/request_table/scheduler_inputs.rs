//! What the scheduler is notified of beside requests, attempts, commands and endpoints.
use super::table::RequestTable;
use quartzdrift_scheduler::interface::{Event, UsageForecast};
use quartzdrift_scheduler::measure::Measurements;
use std::time::Duration;

impl<P: Clone> RequestTable<P> {
    /// A forecast of a function's use. The scheduler decides whether to prefetch the function for it.
    pub fn forecast(&mut self, now: Duration, forecast: UsageForecast) {
        self.advance(now);
        self.feed(Event::UsageForecast(forecast));
        self.settle();
    }

    /// Restores what an earlier process had measured, for workers that may be taken to be the same.
    pub fn restore_measurements(&mut self, now: Duration, measurements: Measurements) {
        self.advance(now);
        self.feed(Event::RestoredMeasurements(measurements));
        self.settle();
    }

    /// The endpoint list was current at `as_of`, as far as it was passed on until now.
    pub fn confirm_endpoints(&mut self, now: Duration, as_of: Duration) {
        self.advance(now);
        self.feed(Event::EndpointsConfirmed { as_of });
        self.settle();
    }

    /// A worker on the endpoint list has ended a connection.
    pub fn worker_disconnected(&mut self, now: Duration, worker: &str) {
        self.advance(now);
        if self.workers.contains_key(worker) {
            self.feed(Event::WorkerDisconnected { worker });
            self.settle();
        }
    }

    /// The number of schedulers that share the workers, this one included, in place of the settings' number.
    pub fn set_scheduler_count(&mut self, now: Duration, count: u32) {
        self.advance(now);
        self.feed(Event::SchedulerCount(count));
        self.settle();
    }

    /// A message of another scheduler.
    pub fn peer_message(&mut self, now: Duration, from: u32, bytes: Vec<u8>) {
        self.advance(now);
        self.feed(Event::PeerMessage { from, bytes });
        self.settle();
    }
}
