//! Asynchronous invocations on disk: when effects wait until a change is durable, and what happens when the store fails.
//!
//! An acceptance is answered once it is durable. An attempt that must not execute twice is sent once its start is durable.
//! While the disk fails, which is an error in the log, each new invocation is rejected, acceptances that wait are answered as
//! unknown, and attempts wait on: what was accepted before is still owed.
use super::Gateway;
use super::responses::to_http;
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

/// Maximum acceptances that wait to be durable, before new invocations are rejected.
const MAX_PENDING_ANSWERS: usize = 65_536;

/// What waits until a batch is durable.
#[derive(Default)]
struct PendingEffects {
    /// Acceptances to answer.
    answers: Vec<(Exchange, Uuid)>,
    /// Attempts to send.
    attempts: Vec<DueAttempt>,
}

/// The store of asynchronous invocations, and what waits for it.
pub(super) struct Store {
    writer: WalWriter,
    /// Waits for the batch that is gathering.
    gathering: PendingEffects,
    /// Waits for submitted batches, by number.
    submitted: VecDeque<(u64, PendingEffects)>,
    /// Acceptances that wait, over all batches.
    pending_answers: usize,
    /// Whether the last batch could not be submitted because the disk does not keep up.
    behind: bool,
    /// Whether the disk fails at present.
    stalled: bool,
}

impl Store {
    fn new(writer: WalWriter) -> Store {
        Store {
            writer,
            gathering: PendingEffects::default(),
            submitted: VecDeque::new(),
            pending_answers: 0,
            behind: false,
            stalled: false,
        }
    }

    /// Whether new invocations may be accepted.
    pub(super) fn has_capacity(&self) -> bool {
        !self.stalled && !self.behind && self.pending_answers < MAX_PENDING_ANSWERS
    }

    /// Whether nothing waits for the disk.
    pub(super) fn idle(&self) -> bool {
        let gathers = !self.gathering.answers.is_empty() || !self.gathering.attempts.is_empty();
        self.submitted.is_empty() && !gathers
    }
}

impl Gateway {
    /// Opens the store, and restores the invocations that it holds.
    pub(super) fn start_store(&mut self, handle: &LoopHandle<'static, Gateway>) -> io::Result<()> {
        let Some(path) = self.settings.store_folder.clone() else {
            return Ok(());
        };
        let start = Instant::now();
        let OpenedWal {
            writer,
            open_invocations,
            events,
        } = WalWriter::open(&path)
            .map_err(|error| io::Error::other(format!("deferred jobs in {}: {error}", path.display())))?;
        handle
            .insert_source(events, |event, _, gateway| gateway.writer_event(event))
            .map_err(|error| io::Error::other(error.to_string()))?;
        self.store = Some(Store::new(writer));
        let last_id = open_invocations.iter().map(|record| record.id).max();
        self.asynchronous.reserve_ids(InvocationId(last_id.unwrap_or(0)));
        let requests = open_invocations.len();
        tracing::info!(requests, duration = ?start.elapsed(), "deferred jobs read from the store");
        match &mut self.recovery {
            // They are restored once recovery has decided what they may do.
            Some(recovery) => recovery.held_requests = open_invocations,
            None => {
                let context = RestoreContext {
                    keys_retained: true,
                    store_is_outdated: false,
                };
                self.restore(open_invocations, context, Duration::ZERO);
            }
        }
        Ok(())
    }

    fn writer_event(&mut self, event: Event<WriterEvent>) {
        match event {
            Event::Msg(WriterEvent::Durable(number)) => self.batch_durable(number),
            Event::Msg(WriterEvent::Stalled(reason)) => self.store_stalled(&reason),
            Event::Closed => {}
        }
    }

    /// Restores invocations. They do not age by `forgiven_age`.
    pub(super) fn restore(
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
            let step = self.asynchronous.restore(now, stored, context);
            completed += u32::from(matches!(step, Some(NextStep::Completed(_))));
            self.follow_step(id, step, None);
        }
        if unreadable > 0 {
            tracing::error!(
                requests = unreadable,
                "deferred jobs of another release stay in the store and are not run"
            );
        }
        let requests = self.asynchronous.len();
        tracing::info!(requests, over = completed, after = ?context, "deferred jobs taken back from the store");
        self.submit_changes();
    }

    /// Leaves the answer to an accepted invocation for when it is durable; `false` where it is to be answered at once.
    pub(super) fn answer_when_durable(&mut self, exchange: Exchange, id: Uuid) -> bool {
        let answers_early = self.settings.accept_before_durable;
        match &mut self.store {
            Some(store) if !answers_early => {
                store.gathering.answers.push((exchange, id));
                store.pending_answers += 1;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Sends an attempt: once its start is durable, or at once where executing it twice is harmless.
    pub(super) fn send_when_durable(&mut self, attempt: DueAttempt) {
        match &mut self.store {
            Some(store) if attempt.invocation.idempotency != Idempotency::Idempotent => {
                store.gathering.attempts.push(attempt);
            }
            Some(_) | None => self.send_attempt(attempt),
        }
    }

    /// Submits the changes of this turn of the event loop, which become durable together or not at all.
    pub(super) fn submit_changes(&mut self) {
        let Some(store) = &mut self.store else { return };
        let changes = self.asynchronous.store_mut().take();
        if changes.is_empty() {
            return;
        }
        match store.writer.submit(changes) {
            Ok(number) => {
                store.behind = false;
                let effects = std::mem::take(&mut store.gathering);
                store.submitted.push_back((number, effects));
            }
            Err(changes) => {
                store.behind = true;
                self.asynchronous.store_mut().put_back(changes);
            }
        }
    }

    fn batch_durable(&mut self, number: u64) {
        if let Some(store) = &mut self.store
            && std::mem::take(&mut store.stalled)
        {
            tracing::info!("deferred jobs are kept again");
        }
        while let Some(store) = &mut self.store
            && let Some((_, effects)) = store.submitted.pop_front_if(|(batch, _)| *batch <= number)
        {
            store.pending_answers -= effects.answers.len();
            for (exchange, id) in effects.answers {
                let mut answer = to_http(response::accepted(), Some(id));
                if self.is_draining() {
                    answer.headers.push("connection", "close");
                }
                self.http.respond(exchange, &answer);
            }
            for attempt in effects.attempts {
                self.send_attempt(attempt);
            }
        }
        // There is room for a batch that could not be submitted before.
        self.submit_changes();
    }

    /// The disk fails: it is unknown whether what waits for it is durable, and clients are told so. Attempts wait until their
    /// start is durable.
    fn store_stalled(&mut self, reason: &str) {
        tracing::error!(
            why = reason,
            "deferred jobs cannot be kept at present: new ones are pushed back until the disk takes them"
        );
        let Some(store) = &mut self.store else { return };
        store.stalled = true;
        let submitted = store.submitted.iter_mut().map(|(_, effects)| effects);
        let waiting = submitted.chain(std::iter::once(&mut store.gathering));
        let answers: Vec<(Exchange, Uuid)> = waiting
            .flat_map(|effects| std::mem::take(&mut effects.answers))
            .collect();
        store.pending_answers -= answers.len();
        for (exchange, id) in answers {
            let unknown = ApiError::DurabilityUnknown.response();
            self.http.respond(exchange, &to_http(unknown, Some(id)));
        }
    }

    /// Writes the last changes and waits until they are durable.
    pub(super) fn close_store(&mut self) {
        let changes = self.asynchronous.store_mut().take();
        if let Some(mut store) = self.store.take().filter(|_| !changes.is_empty()) {
            store.writer.submit_last(changes);
        }
    }
}
