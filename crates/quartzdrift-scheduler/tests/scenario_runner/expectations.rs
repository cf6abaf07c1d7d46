//! Lines that expect an action, or a bound of what was done so far.
use super::{Result, Runner, Words};
use quartzdrift_scheduler::interface::{Action, ActionLimits, RequestId};
use std::time::Duration;

impl Runner {
    pub(crate) fn expectation(&mut self, words: &Words) -> Result {
        match words.get(0).unwrap_or("") {
            "sent" => self.expect_attempt(words),
            "sent-there" => self.expect_attempt_where_loaded(words.number(1)?),
            "pushed-back" => self.expect_rejection(words.number(1)?),
            "killed" => {
                let failed = Action::Fail { request: words.number(1)? };
                self.expect("kill", |action| *action == failed)
            }
            "cancelled" => {
                let wanted: RequestId = words.number(1)?;
                let is_cancelled = |action: &Action| matches!(action, Action::CancelAttempt { request, .. } if *request == wanted);
                self.expect("cancel", is_cancelled)
            }
            "watched" => self.expect("watch", |action| *action == Action::WatchEndpoints { enabled: true }),
            "ordered" => self.expect_load(words.get(1).unwrap_or("f")),
            "quiet" => self.expect_nothing(),
            "places-most" => {
                let count = self.table_size(words);
                check(count <= words.number(2)?, || format!("{count} places are kept"))
            }
            "places-least" => {
                let count = self.table_size(words);
                check(count >= words.number(2)?, || format!("{count} places are kept"))
            }
            "loads-most" => {
                let is_within = self.pairs.len() <= words.number(1)?;
                check(is_within, || format!("{} pairs: {:?}", self.pairs.len(), self.pairs))
            }
            "loads-least" => {
                let is_reached = self.pairs.len() >= words.number(1)?;
                check(is_reached, || format!("{} pairs: {:?}", self.pairs.len(), self.pairs))
            }
            "sent-most" => {
                let (worker, sent) = self.sent(words);
                check(sent <= words.number(2)?, || format!("{worker} was sent {sent}"))
            }
            "sent-least" => {
                let (worker, sent) = self.sent(words);
                check(sent >= words.number(2)?, || format!("{worker} was sent {sent}"))
            }
            other => Err(format!("cannot read '{other}'")),
        }
    }

    fn expect(&mut self, what: &str, fits: impl Fn(&Action) -> bool) -> Result {
        self.take(what, fits).map(drop)
    }

    /// Removes the first action that fits from those that are pending.
    fn take(&mut self, what: &str, fits: impl Fn(&Action) -> bool) -> Result<Action> {
        let at = self.pending.iter().position(fits);
        let at = at.ok_or(format!("no {what} in {:?}", self.pending))?;
        Ok(self.pending.remove(at))
    }

    fn expect_attempt(&mut self, words: &Words) -> Result {
        let wanted: RequestId = words.number(1)?;
        let fits = |worker: &str| match (words.get(2), words.get(3)) {
            (Some("to"), Some(name)) => worker == name,
            (Some("not"), Some(name)) => worker != name,
            _ => true,
        };
        self.expect(&words.joined(), |action| match action {
            Action::StartAttempt { request, worker, .. } => *request == wanted && fits(worker),
            _ => false,
        })
    }

    fn expect_attempt_where_loaded(&mut self, wanted: RequestId) -> Result {
        let load_worker = self.load_worker.clone();
        self.expect("send to where it was loaded", |action| match action {
            Action::StartAttempt { request, worker, .. } => *request == wanted && **worker == *load_worker,
            _ => false,
        })
    }

    fn expect_rejection(&mut self, wanted: RequestId) -> Result {
        let ActionLimits { retry_after: allows_time, max_retry_after, .. } = self.settings.limits;
        let is_within = |time: Duration| !time.is_zero() && max_retry_after.is_none_or(|max| time <= max);
        let fits = |time: Option<Duration>| match time {
            Some(time) => allows_time && is_within(time),
            None => !allows_time,
        };
        self.expect("push-back, with a time to come back where settings allow", |action| match action {
            Action::Reject { request, retry_after, .. } => *request == wanted && fits(*retry_after),
            _ => false,
        })
    }

    fn expect_load(&mut self, wanted: &str) -> Result {
        let is_load = |action: &Action| match action {
            Action::Load { function, copies: 1, .. } => &**function == wanted,
            _ => false,
        };
        if let Action::Load { worker, .. } = self.take(&format!("order to load {wanted}"), is_load)? {
            self.load_worker = worker.to_string();
        }
        Ok(())
    }

    fn expect_nothing(&mut self) -> Result {
        self.pending.retain(|action| !matches!(action, Action::SetTimer { .. }));
        check(self.pending.is_empty(), || format!("not quiet: {:?}", self.pending))
    }

    fn table_size(&self, words: &Words) -> usize {
        let sizes = self.scheduler.as_ref().map(|scheduler| scheduler.table_sizes()).unwrap_or_default();
        match words.get(1) {
            Some("workers") => sizes.workers,
            Some("functions") => sizes.functions,
            _ => sizes.open_requests,
        }
    }

    /// The worker that a line names, and how many attempts were sent to it.
    fn sent<'a>(&self, words: &Words<'a>) -> (&'a str, u32) {
        let worker = words.get(1).unwrap_or("");
        (worker, self.sends.get(worker).copied().unwrap_or(0))
    }
}

fn check(holds: bool, error: impl FnOnce() -> String) -> Result {
    if holds { Ok(()) } else { Err(error()) }
}
