//! Asynchronous requests on disk: what was taken is answered once it lasts, and a try that must not be made twice leaves once it is
//! noted. A store that fails is an error in the log, and rejections from then on.
use super::Gateway;
use super::clients::response;
use crate::durable::{self, Durable, Said};
use calloop::LoopHandle;
use calloop::channel::Event;
use quartzdrift_async_queue::{After, End, Id, Kept, Submitted};
use quartzdrift_http::Exchange;
use quartzdrift_invoke::answer::{self, Problem};
use quartzdrift_scheduler::interface::Idempotency;
use quartzdrift_wal::InvocationRecord;
use std::collections::VecDeque;
use std::io;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Requests that wait to last at most, before more are rejected.
const MAX_ANSWERS: usize = 65_536;

/// What waits for a batch to last.
#[derive(Default)]
struct Waiting {
    answers: Vec<(Exchange, Uuid)>,
    leaving: Vec<(Id, Submitted, Option<Duration>)>,
}

pub(super) struct Store {
    durable: Durable,
    /// For the batch that is gathering, and for those handed over, by number.
    next: Waiting,
    handed: VecDeque<(u64, Waiting)>,
    answers: usize,
    /// Whether a batch could not be handed over, as the disk does not keep up.
    behind: bool,
    pub failed: bool,
}

impl Store {
    /// Whether new requests may be taken.
    pub fn takes(&self) -> bool {
        !self.failed && !self.behind && self.answers < MAX_ANSWERS
    }

    /// Whether nothing waits for the disk.
    pub fn idle(&self) -> bool {
        self.failed || self.handed.is_empty() && self.next.answers.is_empty()
    }
}

impl Gateway {
    /// Opens the store, and takes back what it holds.
    pub(super) fn start_store(&mut self, handle: &LoopHandle<'static, Gateway>) -> io::Result<()> {
        let Some(path) = self.settings.store.clone() else {
            return Ok(());
        };
        let start = Instant::now();
        let unusable = |e| io::Error::other(format!("deferred jobs in {}: {e}", path.display()));
        let (durable, live, said) = Durable::start(&path).map_err(unusable)?;
        let hears = |event: Event<Said>, _: &mut (), gateway: &mut Gateway| match event {
            Event::Msg(Said::Lasts(number)) => gateway.lasts(number),
            Event::Msg(Said::Failed(why)) => gateway.store_failed(&why),
            Event::Closed => {}
        };
        handle
            .insert_source(said, hears)
            .map_err(|e| io::Error::other(e.to_string()))?;
        let (next, handed) = (Waiting::default(), VecDeque::new());
        self.store = Some(Store {
            durable,
            next,
            handed,
            answers: 0,
            behind: false,
            failed: false,
        });
        self.asynchronous
            .reserve(Id(live.iter().map(|of| of.id).max().unwrap_or(0)));
        let requests = live.len();
        tracing::info!(requests, duration = ?start.elapsed(), "deferred jobs read from the store");
        match &mut self.returning {
            // Until it is known what they may do, they stay where they are.
            Some(returning) => returning.held = live,
            None => self.restore(
                live,
                After {
                    repeats_known: true,
                    older: false,
                },
                Duration::ZERO,
            ),
        }
        Ok(())
    }

    /// Takes requests back; `forgiven`: time in which they are not taken to have aged.
    pub(super) fn restore(&mut self, live: Vec<InvocationRecord>, after: After, forgiven: Duration) {
        if live.is_empty() {
            return;
        }
        let (mut over, mut strange) = (0, 0);
        let now = self.now();
        for of in &live {
            let Some(kept) = durable::kept(of) else {
                strange += 1;
                continue;
            };
            let id = kept.id;
            let taken = (kept.taken + forgiven).min(now.max(kept.taken));
            let step = self.asynchronous.restore(now, Kept { taken, ..kept }, after);
            over += u32::from(matches!(step, Some(quartzdrift_async_queue::Step::Over(_))));
            self.stepped(id, step, None);
        }
        if strange > 0 {
            tracing::error!(
                requests = strange,
                "deferred jobs of another release stay in the store and are not run"
            );
        }
        let requests = self.asynchronous.len();
        tracing::info!(requests, over, ?after, "deferred jobs taken back from the store");
        self.hand_over();
    }

    /// Whether a request that was just taken is answered once it lasts; it then is.
    pub(super) fn answer_later(&mut self, exchange: Exchange, id: Uuid) -> bool {
        let early = self.settings.answer_early;
        match &mut self.store {
            Some(store) if !early => {
                store.next.answers.push((exchange, id));
                store.answers += 1;
                true
            }
            Some(_) | None => false,
        }
    }

    /// A try is due. It leaves once it is noted that it may have run, unless it may run again anyway.
    pub(super) fn leave(&mut self, id: Id, request: Submitted, left: Option<Duration>) {
        match &mut self.store {
            Some(store) if request.idempotency != Idempotency::Idempotent => {
                store.next.leaving.push((id, request, left))
            }
            Some(_) | None => self.try_asynchronous(id, request, left),
        }
    }

    /// Hands the changes of this turn over, to last together or not at all.
    pub(super) fn hand_over(&mut self) {
        let Some(store) = &mut self.store else { return };
        if store.failed {
            self.asynchronous.store_mut().take();
            let next = std::mem::take(&mut store.next);
            return self.given_up(next);
        }
        let changes = self.asynchronous.store_mut().take();
        if changes.is_empty() {
            return;
        }
        match store.durable.hand(changes) {
            Ok(number) => {
                store.behind = false;
                store.handed.push_back((number, std::mem::take(&mut store.next)));
            }
            Err(changes) => {
                store.behind = true;
                self.asynchronous.store_mut().put_back(changes);
            }
        }
    }

    fn lasts(&mut self, number: u64) {
        while let Some(store) = &mut self.store
            && let Some((_, waiting)) = store.handed.pop_front_if(|(at, _)| *at <= number)
        {
            store.answers -= waiting.answers.len();
            for (exchange, id) in waiting.answers {
                let mut answer = response(answer::taken(), Some(id));
                if self.stopping.is_some() {
                    answer.headers.push("connection", "close");
                }
                self.http.answer(exchange, &answer);
            }
            for (id, request, left) in waiting.leaving {
                self.try_asynchronous(id, request, left);
            }
        }
        // What the disk kept waiting.
        self.hand_over();
    }

    fn store_failed(&mut self, why: &str) {
        tracing::error!(
            why,
            "deferred jobs are no longer kept: new ones are pushed back until a restart"
        );
        let Some(store) = &mut self.store else { return };
        store.failed = true;
        let waiting: Vec<Waiting> = store.handed.drain(..).map(|(_, waiting)| waiting).collect();
        waiting.into_iter().for_each(|waiting| self.given_up(waiting));
        self.hand_over();
    }

    /// Nothing of it is known to last: no request is said to be taken, and no try leaves that must not be made twice.
    fn given_up(&mut self, waiting: Waiting) {
        if let Some(store) = &mut self.store {
            store.answers -= waiting.answers.len();
        }
        for (exchange, id) in waiting.answers {
            self.http
                .answer(exchange, &response(Problem::Unsure.said(), Some(id)));
        }
        for (id, ..) in waiting.leaving {
            self.step(
                id,
                End::Rejected {
                    retry_after: None,
                    may_have_executed: None,
                },
                None,
            );
        }
    }

    /// Waits for the last batch.
    pub(super) fn close_store(&mut self) {
        let changes = self.asynchronous.store_mut().take();
        if let Some(mut store) = self.store.take().filter(|_| !changes.is_empty()) {
            store.durable.hand_last(changes);
        }
    }
}
