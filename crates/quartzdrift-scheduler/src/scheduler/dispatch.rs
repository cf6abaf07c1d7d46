//! Entry point of the scheduler: accepts an event and returns the resulting actions.
//!
//! Routes each event and each message to the module that decides on it. Messages are processed in the order
//! in which they were sent, and all of them before `handle` returns.
use crate::interface::{Action, Event};
use crate::mailbox::{Mailbox, Recipient};
use crate::messages::{AttemptEnd, Candidate, Message, PrefetchEnd};
use crate::state::{DecisionContext, Scheduler, Worker};
use std::time::Duration;

impl Scheduler {
    /// Processes one event at the time `now`. Returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.sweep_if_due();
        self.dispatch(event);
        let lease = self.lease_view();
        while let Some((recipient, message)) = self.mailbox.next() {
            match recipient {
                Recipient::RequestTable => self.receive(message),
                Recipient::Worker(index) => {
                    let context = DecisionContext { now: self.now, settings: &self.settings, lease };
                    self.workers[index].receive(message, context, &mut self.mailbox);
                }
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Passes an event to the method that processes it.
    fn dispatch(&mut self, event: Event) {
        match event {
            Event::EndpointList { kind, entries } => self.update_endpoints(kind, &entries),
            Event::EndpointsConfirmed { as_of } => self.confirm_endpoints(as_of),
            Event::WorkerDisconnected { worker } => {
                let worker = self.worker_index(worker);
                self.mailbox.send_to_worker(worker, Message::Disconnected);
            }
            Event::Request(request) => self.admit_request(&request),
            Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome,
                duration,
                concluded,
                cache_result,
                concurrency: _,
                report,
            } => {
                let worker = self.worker_index(worker);
                let load = self.apply_load_report(worker, &report);
                let end = AttemptEnd { request, attempt, outcome, duration, cache_result, load };
                self.end_attempt(worker, end, concluded);
            }
            Event::RequestCancelled { request } => drop(self.requests.remove(&request)),
            Event::Timer { .. } => self.handle_tick(),
            Event::UsageForecast(forecast) => self.prefetch(&forecast),
            Event::RestoredMeasurements(restored) => self.measurements = restored.assume_worker_loss(),
            Event::SchedulerCount(count) => self.settings.set_schedulers(count),
            Event::LoadEnded { worker, function, outcome, duration, copies } => {
                let worker = self.worker_index(worker);
                let function = self.function_index(function);
                self.end_prefetch(&PrefetchEnd { worker, function, outcome, duration, copies });
            }
            Event::StreamingStarted { .. } | Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::PlaceRequest(request) => self.place_request(request),
            Message::PlacementReply(candidate) => self.collect_reply(candidate),
            Message::WorkerUnresponsive { request, attempt } => self.cancel_attempt(request, attempt),
            Message::EndpointUpdated(_)
            | Message::Replaced
            | Message::PlacementQuery(_)
            | Message::AttemptStarted(_)
            | Message::AttemptEnded { .. }
            | Message::Disconnected
            | Message::Tick => {}
        }
    }

    /// Adds a worker's reply to the pending query, and chooses a worker after the last reply.
    fn collect_reply(&mut self, candidate: Option<Candidate>) {
        self.candidates.extend(candidate);
        self.awaited_replies -= 1;
        if let Some(pending) = self.pending_query.take_if(|_| self.awaited_replies == 0) {
            self.choose_worker(pending.request, pending.query);
        }
    }
}

impl Worker {
    fn receive(&mut self, message: Message, context: DecisionContext, mailbox: &mut Mailbox<Message>) {
        match message {
            Message::EndpointUpdated(endpoint) => self.update_endpoint(endpoint, context.now),
            Message::Replaced => self.record_replaced(context.now),
            Message::PlacementQuery(query) => {
                let candidate = self.evaluate_query(&query, context);
                mailbox.send_to_request_table(Message::PlacementReply(candidate));
            }
            Message::AttemptStarted(attempt) => self.start_attempt(attempt, context),
            Message::AttemptEnded { end, tenant_rejected } => {
                self.end_attempt(&end, tenant_rejected, context)
            }
            Message::Disconnected => self.record_disconnected(context),
            Message::Tick => self.check_responsiveness(context.now, mailbox),
            Message::PlacementReply(_) | Message::PlaceRequest(_) | Message::WorkerUnresponsive { .. } => {}
        }
    }
}
