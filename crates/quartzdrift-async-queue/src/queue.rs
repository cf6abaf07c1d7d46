use crate::store::Store;
use quartzdrift_scheduler::interface::Idempotency;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Destinations in a row, each called by the one before, at most: a circle of them ends.
const MAX_HOPS: u32 = 4;
/// Doublings of the wait after a rejection: from then on it is the longest one.
const MAX_DOUBLINGS: u32 = 16;
/// Bytes that one request takes beside its payload: names, marks and its places in the tables.
const OVERHEAD: usize = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// Where the record of a request that is over goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Destination {
    Function(String),
    Url(String),
}

/// How often and how long.
#[derive(Clone, Debug)]
pub struct Waits {
    /// Tries that ran, at most, the first included.
    pub tries: u32,
    /// Wait before the second try; doubles with each further one, up to `longest`.
    pub first: Duration,
    pub longest: Duration,
    /// From its taking to its last try.
    pub greatest_age: Duration,
    /// Requests and bytes held at most.
    pub requests: usize,
    pub bytes: usize,
    /// Tries out at the request table at a time.
    pub out: usize,
}

/// A request as it was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Submitted {
    pub function: String,
    pub tenant: u32,
    pub idempotency: Idempotency,
    /// Whether all workers drop its repeats, or some group of them only.
    pub anywhere: bool,
    /// For how long workers know a repeat of a request with an idempotency key.
    pub window: Duration,
    pub payload: Rc<[u8]>,
    pub context: Option<String>,
    pub mark: Option<String>,
    pub on_success: Option<Destination>,
    pub on_failure: Option<Destination>,
    /// The timer whose firing this is.
    pub timer: Option<String>,
    /// Destinations that led here.
    pub hops: u32,
}

/// A request that a store kept over a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    pub id: Id,
    pub request: Submitted,
    pub taken: Duration,
    pub due: Duration,
    pub tries: u32,
    pub confined: Option<Duration>,
    /// A try left then and did not end as far as is known.
    pub out: Option<Duration>,
}

/// What lies between a store's last change and now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct After {
    /// Workers still know the idempotency keys of what they ran.
    pub repeats_known: bool,
    /// The store is a copy from before: what it shows as waiting may have run.
    pub older: bool,
}

/// The final answer of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Succeeded {
        function_error: bool,
    },
    Rejected {
        retry_after: Option<Duration>,
        may_have_executed: Option<Duration>,
    },
    Failed,
}

/// A request that is over, for its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Calls {
    pub id: Id,
    pub request: Submitted,
    pub tries: u32,
    pub to: Option<Destination>,
    /// In the words of the published record.
    pub condition: &'static str,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Tried again then.
    Again {
        at: Duration,
    },
    Over(Box<Calls>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Requests,
    Bytes,
}

#[derive(Debug)]
struct Held {
    request: Submitted,
    taken: Duration,
    due: Duration,
    tries: u32,
    rejections: u32,
    out: bool,
    /// A request with an idempotency key that may have run is tried only until then.
    confined: Option<Duration>,
}

pub struct Queue<S: Store> {
    waits: Waits,
    store: S,
    held: BTreeMap<Id, Held>,
    /// What waits, by tenant, each in the order of its times.
    due: BTreeMap<u32, BTreeSet<(Duration, Id)>>,
    /// When each tenant last had its turn: the one longest ago has the next.
    turns: BTreeMap<u32, u64>,
    turn: u64,
    /// Tries out at a time for now, at most those of the settings.
    allowed: usize,
    bytes: usize,
    out: usize,
    drawn: u64,
    chance: StdRng,
}

impl<S: Store> Queue<S> {
    pub fn new(waits: Waits, store: S, seed: u64) -> Queue<S> {
        Queue {
            allowed: waits.out,
            waits,
            store,
            held: BTreeMap::new(),
            due: BTreeMap::new(),
            turns: BTreeMap::new(),
            turn: 0,
            bytes: 0,
            out: 0,
            drawn: 0,
            chance: StdRng::seed_from_u64(seed),
        }
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes a request, due at once.
    pub fn submit(&mut self, now: Duration, request: Submitted) -> Result<Id, Refused> {
        let size = request.payload.len() + OVERHEAD;
        if self.held.len() >= self.waits.requests {
            return Err(Refused::Requests);
        }
        if self.bytes + size > self.waits.bytes {
            return Err(Refused::Bytes);
        }
        self.drawn += 1;
        let id = Id(self.drawn);
        self.store.taken(id, now, &request);
        self.bytes += size;
        self.waits_from(request.tenant, now, id);
        let held = Held {
            request,
            taken: now,
            due: now,
            tries: 0,
            rejections: 0,
            out: false,
            confined: None,
        };
        self.held.insert(id, held);
        Ok(id)
    }

    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }

    /// Takes a request back from a store; `after` tells what lies between. One that was out may have run: it is tried again where
    /// that is harmless, in its window where workers know it, and is over elsewhere. Bounds are those of the time when it was
    /// taken.
    pub fn restore(&mut self, now: Duration, kept: Kept, after: After) -> Option<Step> {
        let Kept {
            id,
            request,
            taken,
            due,
            tries,
            confined,
            out,
        } = kept;
        self.drawn = self.drawn.max(id.0);
        self.bytes += request.payload.len() + OVERHEAD;
        let (idempotency, anywhere, window) = (request.idempotency, request.anywhere, request.window);
        let tenant = request.tenant;
        let held = Held {
            request,
            taken,
            due,
            tries,
            rejections: 0,
            out: out.is_some(),
            confined,
        };
        self.held.insert(id, held);
        let Some(at) = out else {
            if after.older && idempotency != Idempotency::Idempotent {
                return self.over(id, false, "RetriesExhausted");
            }
            self.waits_from(tenant, due, id);
            return None;
        };
        self.out += 1;
        let end = match idempotency {
            Idempotency::Idempotent => End::Failed,
            Idempotency::IdempotentWithKey if anywhere && after.repeats_known && now < at + window => {
                End::Rejected {
                    retry_after: None,
                    may_have_executed: Some(at),
                }
            }
            Idempotency::IdempotentWithKey | Idempotency::NonIdempotent => End::Failed,
        };
        self.ended(now, id, end)
    }

    fn waits_from(&mut self, tenant: u32, at: Duration, id: Id) {
        self.due.entry(tenant).or_default().insert((at, id));
    }

    fn waits_no_more(&mut self, tenant: u32, at: Duration, id: Id) {
        if let Some(due) = self.due.get_mut(&tenant) {
            due.remove(&(at, id));
            if due.is_empty() {
                self.due.remove(&tenant);
            }
        }
    }

    /// Identities up to this one are taken by requests that are still to be restored.
    pub fn reserve(&mut self, id: Id) {
        self.drawn = self.drawn.max(id.0);
    }

    /// Tries that may be out at a time for now; those that are out already stay.
    pub fn allow(&mut self, out: usize) {
        self.allowed = out.min(self.waits.out);
    }

    /// When [`Queue::take_due`] has something to say.
    pub fn next_due(&self) -> Option<Duration> {
        let first = self
            .due
            .values()
            .filter_map(|due| due.first())
            .map(|(at, _)| *at)
            .min();
        first.filter(|_| self.out < self.allowed)
    }

    /// Whether a request's time has come, whether it may go out or not; or one is out.
    pub fn is_busy(&self, now: Duration) -> bool {
        self.out > 0
            || self
                .due
                .values()
                .any(|due| due.first().is_some_and(|(at, _)| *at <= now))
    }

    /// A request whose time has come, to be tried now: its id, the request, how often it was tried, and what remains of
    /// the time in which it may be sent, where that is bounded. Tenants that have such requests take turns.
    pub fn take_due(&mut self, now: Duration) -> Option<(Id, Submitted, u32, Option<Duration>)> {
        if self.out >= self.allowed {
            return None;
        }
        let due = self
            .due
            .iter()
            .filter_map(|(tenant, due)| Some((*tenant, *due.first()?)));
        let due = due.filter(|(_, (at, _))| *at <= now);
        let turn = |tenant: u32| self.turns.get(&tenant).copied().unwrap_or(0);
        let (tenant, (at, id)) = due.min_by_key(|(tenant, of)| (turn(*tenant), *of))?;
        self.turn += 1;
        self.turns.insert(tenant, self.turn);
        self.waits_no_more(tenant, at, id);
        let held = self.held.get_mut(&id)?;
        held.out = true;
        held.tries += 1;
        self.out += 1;
        self.store.out(id, now, held.tries);
        let left = held.confined.map(|until| until.saturating_sub(now));
        Some((id, held.request.clone(), held.tries, left))
    }

    /// A try has had its final answer.
    pub fn ended(&mut self, now: Duration, id: Id, end: End) -> Option<Step> {
        let held = self.held.get_mut(&id).filter(|held| held.out)?;
        held.out = false;
        self.out -= 1;
        let idempotent = held.request.idempotency == Idempotency::Idempotent;
        let left = held.tries < self.waits.tries;
        let wait = match end {
            End::Succeeded {
                function_error: false,
            } => return self.over(id, true, "Success"),
            End::Succeeded { function_error: true } | End::Failed if idempotent && left => {
                let wait = self.waits.first * (1 << (held.tries - 1).min(MAX_DOUBLINGS));
                // Half of it by chance: requests that failed together do not come back together.
                let wait = wait.min(self.waits.longest);
                wait / 2 + (wait / 2).mul_f64(self.chance.random_range(0.0..1.0))
            }
            End::Succeeded { .. } | End::Failed => return self.over(id, false, "RetriesExhausted"),
            End::Rejected {
                retry_after,
                may_have_executed,
            } => {
                // It did not run, or running again is harmless: only its age counts.
                held.tries -= 1;
                held.rejections += 1;
                if held.request.idempotency == Idempotency::IdempotentWithKey
                    && let Some(may_have_executed) = may_have_executed
                {
                    let until = may_have_executed + held.request.window;
                    held.confined = Some(held.confined.map_or(until, |before| before.min(until)));
                }
                let told = retry_after.unwrap_or_default();
                let spread = self.waits.first * (1 << held.rejections.min(MAX_DOUBLINGS));
                // Full jitter (M. Brooker, "Exponential backoff and jitter"), never sooner than told.
                told + spread
                    .min(self.waits.longest)
                    .mul_f64(self.chance.random_range(0.0..1.0))
            }
        };
        let at = now + wait;
        let held = self.held.get_mut(&id)?;
        if at > held.taken + self.waits.greatest_age {
            return self.over(id, false, "EventAgeExceeded");
        }
        if held.confined.is_some_and(|until| at >= until) {
            return self.over(id, false, "RetriesExhausted");
        }
        held.due = at;
        let tenant = held.request.tenant;
        self.store.waits(id, at, held.tries, held.confined);
        self.waits_from(tenant, at, id);
        Some(Step::Again { at })
    }

    /// What is left, without a final answer; for the last word of a process that stops.
    pub fn left(&self) -> impl Iterator<Item = (Id, &Submitted, bool)> {
        self.held.iter().map(|(id, held)| (*id, &held.request, held.out))
    }

    fn over(&mut self, id: Id, success: bool, condition: &'static str) -> Option<Step> {
        let held = self.held.remove(&id)?;
        self.waits_no_more(held.request.tenant, held.due, id);
        self.bytes -= held.request.payload.len() + OVERHEAD;
        self.store.over(id);
        let to = match success {
            true => held.request.on_success.clone(),
            false => held.request.on_failure.clone(),
        };
        let to = to.filter(|_| held.request.hops < MAX_HOPS);
        Some(Step::Over(Box::new(Calls {
            id,
            tries: held.tries,
            to,
            condition,
            request: held.request,
        })))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Memory;
    use proptest::prelude::*;

    fn waits() -> Waits {
        Waits {
            tries: 3,
            first: Duration::from_secs(1),
            longest: Duration::from_secs(60),
            greatest_age: Duration::from_secs(600),
            requests: 10,
            bytes: 10_000,
            out: 2,
        }
    }

    fn request(idempotency: Idempotency) -> Submitted {
        Submitted {
            function: "f".into(),
            tenant: 0,
            idempotency,
            anywhere: true,
            window: Duration::from_secs(5),
            payload: Rc::from(&b"{}"[..]),
            context: None,
            mark: None,
            on_success: None,
            on_failure: Some(Destination::Function("dead".into())),
            timer: None,
            hops: 0,
        }
    }

    fn queue() -> Queue<Memory> {
        Queue::new(waits(), Memory, 1)
    }

    fn condition(step: Option<Step>) -> &'static str {
        match step {
            Some(Step::Over(calls)) => calls.condition,
            Some(Step::Again { .. }) => "again",
            None => "none",
        }
    }

    #[test]
    fn what_may_have_run_is_tried_again_by_its_request_class_only() {
        let error = End::Succeeded { function_error: true };
        for (idempotency, end, expected) in [
            (Idempotency::Idempotent, error, "again"),
            (Idempotency::Idempotent, End::Failed, "again"),
            (Idempotency::IdempotentWithKey, error, "RetriesExhausted"),
            (Idempotency::NonIdempotent, error, "RetriesExhausted"),
            (Idempotency::NonIdempotent, End::Failed, "RetriesExhausted"),
            (
                Idempotency::NonIdempotent,
                End::Rejected {
                    retry_after: None,
                    may_have_executed: None,
                },
                "again",
            ),
            (
                Idempotency::NonIdempotent,
                End::Succeeded {
                    function_error: false,
                },
                "Success",
            ),
        ] {
            let mut queue = queue();
            let id = queue.submit(Duration::ZERO, request(idempotency)).unwrap();
            queue.take_due(Duration::ZERO).unwrap();
            let step = queue.ended(Duration::ZERO, id, end);
            assert_eq!(condition(step), expected, "{idempotency:?} {end:?}");
        }
    }

    #[test]
    fn a_keyed_request_that_may_have_run_is_not_sent_past_its_window() {
        let mut queue = queue();
        let start = Duration::from_secs(100);
        let id = queue
            .submit(start, request(Idempotency::IdempotentWithKey))
            .unwrap();
        queue.take_due(start).unwrap();
        let end = End::Rejected {
            retry_after: Some(Duration::from_millis(10)),
            may_have_executed: Some(start),
        };
        let Some(Step::Again { at }) = queue.ended(start, id, end) else {
            panic!()
        };
        let (.., left) = queue.take_due(at).unwrap();
        assert_eq!(left, Some(start + Duration::from_secs(5) - at));
        let later = End::Rejected {
            retry_after: Some(Duration::from_secs(5)),
            may_have_executed: Some(at),
        };
        assert_eq!(condition(queue.ended(at, id, later)), "RetriesExhausted");
    }

    #[test]
    fn rejections_use_up_age_and_no_tries() {
        let mut queue = queue();
        let id = queue
            .submit(Duration::ZERO, request(Idempotency::NonIdempotent))
            .unwrap();
        let (mut now, mut times) = (Duration::ZERO, 0);
        loop {
            queue.take_due(now).unwrap();
            times += 1;
            let told = Duration::from_secs(1);
            match queue
                .ended(
                    now,
                    id,
                    End::Rejected {
                        retry_after: Some(told),
                        may_have_executed: None,
                    },
                )
                .unwrap()
            {
                Step::Again { at } => {
                    assert!(at >= now + told);
                    now = at;
                }
                Step::Over(calls) => {
                    assert_eq!((calls.condition, calls.tries), ("EventAgeExceeded", 0));
                    assert_eq!(calls.to, Some(Destination::Function("dead".into())));
                    break;
                }
            }
        }
        assert!(times > 3 && queue.is_empty() && queue.bytes() == 0);
    }

    #[test]
    fn what_was_out_at_a_crash_goes_on_only_where_it_may() {
        let s = Duration::from_secs;
        let plain = After {
            repeats_known: true,
            older: false,
        };
        let (lost, older) = (
            After {
                repeats_known: false,
                ..plain
            },
            After { older: true, ..plain },
        );
        for (idempotency, anywhere, out, after, expected) in [
            (Idempotency::NonIdempotent, true, None, plain, "none"),
            (
                Idempotency::NonIdempotent,
                true,
                Some(s(99)),
                plain,
                "RetriesExhausted",
            ),
            (Idempotency::Idempotent, true, Some(s(99)), plain, "again"),
            (Idempotency::IdempotentWithKey, true, Some(s(99)), plain, "again"),
            (
                Idempotency::IdempotentWithKey,
                true,
                Some(s(90)),
                plain,
                "RetriesExhausted",
            ),
            (
                Idempotency::IdempotentWithKey,
                false,
                Some(s(99)),
                plain,
                "RetriesExhausted",
            ),
            (
                Idempotency::IdempotentWithKey,
                true,
                Some(s(99)),
                lost,
                "RetriesExhausted",
            ),
            (Idempotency::IdempotentWithKey, true, None, lost, "none"),
            (Idempotency::NonIdempotent, true, None, older, "RetriesExhausted"),
            (
                Idempotency::IdempotentWithKey,
                true,
                None,
                older,
                "RetriesExhausted",
            ),
            (Idempotency::Idempotent, true, None, older, "none"),
        ] {
            let mut queue = Queue::new(waits(), crate::Changes::new(true), 1);
            let request = Submitted {
                anywhere,
                ..request(idempotency)
            };
            let tries = u32::from(out.is_some());
            let kept = Kept {
                id: Id(7),
                request,
                taken: s(80),
                due: s(85),
                tries,
                confined: None,
                out,
            };
            let step = queue.restore(s(100), kept, after);
            assert_eq!(condition(step), expected, "{idempotency:?} {anywhere} {out:?}");
            assert_eq!(queue.store_mut().take().len(), usize::from(expected != "none"));
            if expected == "none" {
                assert_eq!(queue.take_due(s(100)).unwrap().0, Id(7));
            }
            assert_eq!(queue.submit(s(101), self::request(idempotency)), Ok(Id(8)));
        }
    }

    #[test]
    fn tenants_take_turns_and_no_more_go_out_than_are_allowed() {
        let mut queue = Queue::new(
            Waits {
                requests: 100,
                bytes: 100_000,
                out: 64,
                ..waits()
            },
            Memory,
            1,
        );
        queue.reserve(Id(40));
        for n in 0..30 {
            let request = Submitted {
                tenant: u32::from(n >= 24) + u32::from(n >= 27),
                ..request(Idempotency::Idempotent)
            };
            assert_eq!(queue.submit(Duration::from_millis(n), request), Ok(Id(41 + n)));
        }
        let now = Duration::from_secs(1);
        queue.allow(0);
        assert_eq!((queue.next_due(), queue.take_due(now)), (None, None));
        queue.allow(9);
        let taken: Vec<u32> = std::iter::from_fn(|| queue.take_due(now))
            .map(|(_, request, ..)| request.tenant)
            .collect();
        assert_eq!(taken, [0, 1, 2, 0, 1, 2, 0, 1, 2]);
        queue.allow(1000);
        assert_eq!(std::iter::from_fn(|| queue.take_due(now)).count(), 21);
    }

    #[test]
    fn circles_of_destinations_end() {
        let mut queue = queue();
        let id = queue
            .submit(
                Duration::ZERO,
                Submitted {
                    hops: MAX_HOPS,
                    ..request(Idempotency::NonIdempotent)
                },
            )
            .unwrap();
        queue.take_due(Duration::ZERO).unwrap();
        let Some(Step::Over(calls)) = queue.ended(Duration::ZERO, id, End::Failed) else {
            panic!()
        };
        assert_eq!(calls.to, None);
    }

    proptest! {
        /// Whatever comes, in whatever order: the bounds hold, and each request has one try out at most.
        #[test]
        fn bounds_hold(steps in proptest::collection::vec((0u8..4, 0u64..12, 0u64..3000), 1..200)) {
            let mut queue = queue();
            let (mut now, mut out) = (Duration::ZERO, BTreeSet::new());
            for (what, which, ms) in steps {
                now += Duration::from_millis(ms);
                match what {
                    0 => drop(queue.submit(now, request(Idempotency::Idempotent))),
                    1 => while let Some((id, ..)) = queue.take_due(now) {
                        prop_assert!(out.insert(id), "two tries out");
                    },
                    _ => {
                        let end = match what {
                            2 => End::Failed,
                            _ => End::Rejected { retry_after: None, may_have_executed: None },
                        };
                        let step = queue.ended(now, Id(which), end);
                        prop_assert_eq!(step.is_some(), out.remove(&Id(which)));
                    }
                }
                prop_assert!(queue.len() <= 10 && queue.bytes() <= 10_000 && out.len() <= 2);
            }
        }
    }
}
