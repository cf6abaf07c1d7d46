//! Durable storage of asynchronous invocations: effects that wait until a change is durable, and the handling
//! of disk failures.
//!
//! The client of an accepted invocation gets its response when the invocation is durable. An attempt that
//! must not execute twice is sent when its start is durable. While writes to the disk fail, an error is
//! logged and new invocations are rejected. Clients that wait for a response get an error, because it is
//! unknown whether the invocation is durable. Attempts keep waiting, because accepted invocations must be
//! executed.
use super::Gateway;
use super::responses::to_http_response;
use crate::wal_writer::{self, OpenedWal, WalWriter, WriterEvent};
use calloop::LoopHandle;
use calloop::channel::Event;
use quartzdrift_async_queue::{DueAttempt, InvocationId, NextStep, RestoreContext};
use quartzdrift_http::Exchange;
use quartzdrift_invoke::response::{self, ApiError};
use quartzdrift_scheduler::interface::Idempotency;
use quartzdrift_wal::InvocationRecord;
use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Maximum number of clients that wait until their invocation is durable. Beyond it new invocations are
/// rejected.
const MAX_PENDING_ACCEPTANCES: usize = 65_536;

/// Effects that are delayed until a batch of changes is durable.
#[derive(Default)]
struct PendingEffects {
    /// Clients that wait for the response to an accepted invocation, with the request ids.
    acceptances: Vec<(Exchange, Uuid)>,
    /// Attempts to send.
    attempts: Vec<DueAttempt>,
}

/// The store of asynchronous invocations, and the effects that are delayed until its batches are durable.
pub(super) struct Store {
    writer: WalWriter,
    /// Effects of the changes that have not been submitted yet.
    unsubmitted: PendingEffects,
    /// Effects of submitted batches, by batch number.
    submitted: VecDeque<(u64, PendingEffects)>,
    /// Number of clients that wait for a response, over all batches.
    pending_acceptances: usize,
    /// Whether the last batch could not be submitted because too many batches wait for the disk.
    is_writer_full: bool,
    /// Whether writes to the disk are failing.
    is_failing: bool,
}

impl Store {
    fn new(writer: WalWriter) -> Store {
        Store {
            writer,
            unsubmitted: PendingEffects::default(),
            submitted: VecDeque::new(),
            pending_acceptances: 0,
            is_writer_full: false,
            is_failing: false,
        }
    }

    /// Whether new invocations may be accepted.
    pub(super) fn has_capacity(&self) -> bool {
        !self.is_failing && !self.is_writer_full && self.pending_acceptances < MAX_PENDING_ACCEPTANCES
    }

    /// Whether no effect is delayed.
    pub(super) fn is_idle(&self) -> bool {
        let has_unsubmitted =
            !self.unsubmitted.acceptances.is_empty() || !self.unsubmitted.attempts.is_empty();
        self.submitted.is_empty() && !has_unsubmitted
    }
}

impl Gateway {
    /// Opens the store, and restores its invocations.
    pub(super) fn start_store(&mut self, handle: &LoopHandle<'static, Gateway>) -> io::Result<()> {
        let Some(path) = self.settings.store_folder.clone() else {
            return Ok(());
        };
        let start = Instant::now();
        let OpenedWal {
            writer,
            open_invocations,
            events,
        } = WalWriter::open(&path).map_err(|error| {
            io::Error::other(format!(
                "cannot open the store of asynchronous invocations in {}: {error}",
                path.display()
            ))
        })?;
        handle
            .insert_source(events, |event, _, gateway| gateway.handle_writer_event(event))
            .map_err(|error| io::Error::other(error.to_string()))?;
        self.store = Some(Store::new(writer));
        let last_id = open_invocations.iter().map(|record| record.id).max();
        self.invocation_queue
            .reserve_ids(InvocationId(last_id.unwrap_or(0)));
        let requests = open_invocations.len();
        tracing::info!(requests, duration = ?start.elapsed(), "asynchronous invocations read from the store");
        match &mut self.recovery {
            // The invocations are restored when the recovery has classified the restart.
            Some(recovery) => recovery.held_invocations = open_invocations,
            None => {
                let context = RestoreContext {
                    keys_remembered: true,
                    earlier_copy: false,
                };
                self.restore_invocations(open_invocations, context, Duration::ZERO);
            }
        }
        Ok(())
    }

    fn handle_writer_event(&mut self, event: Event<WriterEvent>) {
        match event {
            Event::Msg(WriterEvent::Durable(number)) => self.batch_durable(number),
            Event::Msg(WriterEvent::Stalled(reason)) => self.store_write_failed(&reason),
            Event::Closed => {}
        }
    }

    /// Restores invocations from the store. Their age is reduced by `forgiven_age`.
    pub(super) fn restore_invocations(
        &mut self,
        records: Vec<InvocationRecord>,
        context: RestoreContext,
        forgiven_age: Duration,
    ) {
        if records.is_empty() {
            return;
        }
        let mut completed = 0;
        let mut unreadable = 0;
        let now = self.now();
        for record in &records {
            let Some(mut stored) = wal_writer::stored_invocation(record) else {
                unreadable += 1;
                continue;
            };
            let id = stored.id;
            let latest = now.max(stored.accepted_at);
            stored.accepted_at = (stored.accepted_at + forgiven_age).min(latest);
            let step = self.invocation_queue.restore(now, stored, context);
            completed += u32::from(matches!(step, Some(NextStep::Completed(_))));
            self.carry_out_step(id, step, None);
        }
        if unreadable > 0 {
            tracing::error!(
                requests = unreadable,
                "cannot decode stored invocations of another release: they are kept but not executed"
            );
        }
        let requests = self.invocation_queue.len();
        tracing::info!(requests, over = completed, after = ?context, "asynchronous invocations restored");
        self.submit_changes();
    }

    /// Delays the response to an accepted invocation until it is durable. Returns `false` if the response is
    /// to be sent at once.
    pub(super) fn respond_when_durable(&mut self, exchange: Exchange, id: Uuid) -> bool {
        let responds_early = self.settings.accept_before_durable;
        match &mut self.store {
            Some(store) if !responds_early => {
                store.unsubmitted.acceptances.push((exchange, id));
                store.pending_acceptances += 1;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Submits an attempt when its start is durable, or at once if executing it twice is harmless.
    pub(super) fn submit_attempt_when_durable(&mut self, attempt: DueAttempt) {
        match &mut self.store {
            Some(store) if attempt.invocation.idempotency != Idempotency::Idempotent => {
                store.unsubmitted.attempts.push(attempt);
            }
            Some(_) | None => self.submit_attempt(attempt),
        }
    }

    /// Submits the changes since the last submission as one batch, which becomes durable completely or not at
    /// all.
    pub(super) fn submit_changes(&mut self) {
        let Some(store) = &mut self.store else { return };
        let changes = self.invocation_queue.store_mut().take();
        if changes.is_empty() {
            return;
        }
        match store.writer.submit(changes) {
            Ok(number) => {
                store.is_writer_full = false;
                let effects = std::mem::take(&mut store.unsubmitted);
                store.submitted.push_back((number, effects));
            }
            Err(changes) => {
                store.is_writer_full = true;
                self.invocation_queue.store_mut().put_back(changes);
            }
        }
    }

    fn batch_durable(&mut self, number: u64) {
        if let Some(store) = &mut self.store
            && std::mem::take(&mut store.is_failing)
        {
            tracing::info!("asynchronous invocations are stored again");
        }
        while let Some(store) = &mut self.store
            && let Some((_, effects)) = store.submitted.pop_front_if(|(batch, _)| *batch <= number)
        {
            store.pending_acceptances -= effects.acceptances.len();
            for (exchange, id) in effects.acceptances {
                let mut response = to_http_response(response::accepted(), Some(id));
                if self.is_draining() {
                    response.headers.push("connection", "close");
                }
                self.http.respond(exchange, &response);
            }
            for attempt in effects.attempts {
                self.submit_attempt(attempt);
            }
        }
        // The writer has room again for a batch that it could not take before.
        self.submit_changes();
    }

    /// Handles a failure to write to the disk. It is unknown whether waiting invocations are durable, so
    /// their clients get an error that says so. Attempts wait until their start is durable.
    fn store_write_failed(&mut self, reason: &str) {
        tracing::error!(
            why = reason,
            "cannot store asynchronous invocations: new ones are rejected until writes to the disk succeed"
        );
        let Some(store) = &mut self.store else { return };
        store.is_failing = true;
        let submitted = store.submitted.iter_mut().map(|(_, effects)| effects);
        let waiting = submitted.chain(std::iter::once(&mut store.unsubmitted));
        let acceptances: Vec<(Exchange, Uuid)> = waiting
            .flat_map(|effects| std::mem::take(&mut effects.acceptances))
            .collect();
        store.pending_acceptances -= acceptances.len();
        for (exchange, id) in acceptances {
            let unknown = ApiError::DurabilityUnknown.response();
            self.http.respond(exchange, &to_http_response(unknown, Some(id)));
        }
    }

    /// Writes the last changes and closes the store. Returns when all batches are durable, or when the writer
    /// has given up on a failing disk.
    pub(super) fn close_store(&mut self) {
        let changes = self.invocation_queue.store_mut().take();
        if let Some(mut store) = self.store.take().filter(|_| !changes.is_empty()) {
            store.writer.submit_last(changes);
        }
    }
}
