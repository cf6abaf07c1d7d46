//! Lines that expect an action, or a bound on the attempts or the table sizes.
use super::{Result, Runner, Words};
use quartzdrift_scheduler::interface::{Action, ActionLimits, RequestId};
use std::time::Duration;

impl Runner {
    pub(crate) fn check_expectation(&mut self, words: &Words) -> Result {
        match words.get(0).unwrap_or("") {
            "sent" => self.expect_attempt(words),
            "sent-there" => self.expect_attempt_at_load_worker(words.number(1)?),
            "pushed-back" => self.expect_rejection(words.number(1)?),
            "killed" => self.expect_failure(words.number(1)?),
            "cancelled" => self.expect_cancellation(words.number(1)?),
            "watched" => self.expect_watch(),
            "ordered" => self.expect_load(words.get(1).unwrap_or("f")),
            "quiet" => self.expect_no_action(),
            "places-most" => {
                let size = self.table_size(words);
                check_bound(words, size <= words.number(2)?, || format!("a table size of {size}"))
            }
            "places-least" => {
                let size = self.table_size(words);
                check_bound(words, size >= words.number(2)?, || format!("a table size of {size}"))
            }
            "loads-most" => {
                let is_met = self.attempted_pairs.len() <= words.number(1)?;
                check_bound(words, is_met, || format!("the pairs {:?}", self.attempted_pairs))
            }
            "loads-least" => {
                let is_met = self.attempted_pairs.len() >= words.number(1)?;
                check_bound(words, is_met, || format!("the pairs {:?}", self.attempted_pairs))
            }
            "sent-most" => {
                let count = self.attempts_at_worker(words);
                check_bound(words, count <= words.number(2)?, || format!("{count} attempts"))
            }
            "sent-least" => {
                let count = self.attempts_at_worker(words);
                check_bound(words, count >= words.number(2)?, || format!("{count} attempts"))
            }
            other => Err(format!("unknown or incomplete line {other:?}")),
        }
    }

    fn expect_action(&mut self, description: &str, matches: impl Fn(&Action) -> bool) -> Result {
        self.take_action(description, matches).map(drop)
    }

    /// Removes and returns the first pending action that matches.
    fn take_action(&mut self, description: &str, matches: impl Fn(&Action) -> bool) -> Result<Action> {
        let index = self.pending_actions.iter().position(matches);
        let index = index.ok_or(format!("no {description} among the actions {:?}", self.pending_actions))?;
        Ok(self.pending_actions.remove(index))
    }

    fn expect_attempt(&mut self, words: &Words) -> Result {
        let expected: RequestId = words.number(1)?;
        let is_expected_worker = |worker: &str| match (words.get(2), words.get(3)) {
            (Some("to"), Some(name)) => worker == name,
            (Some("not"), Some(name)) => worker != name,
            _ => true,
        };
        self.expect_action(&words.joined(), |action| match action {
            Action::StartAttempt { request, worker, .. } => {
                *request == expected && is_expected_worker(worker)
            }
            _ => false,
        })
    }

    fn expect_attempt_at_load_worker(&mut self, expected: RequestId) -> Result {
        let load_worker = self.last_load_worker.clone();
        self.expect_action("attempt at the worker of the last load command", |action| match action {
            Action::StartAttempt { request, worker, .. } => *request == expected && **worker == *load_worker,
            _ => false,
        })
    }

    fn expect_rejection(&mut self, expected: RequestId) -> Result {
        let ActionLimits { retry_after: allows_retry_after, max_retry_after, .. } = self.settings.limits;
        let is_within = |delay: Duration| !delay.is_zero() && max_retry_after.is_none_or(|max| delay <= max);
        let is_expected_delay = |retry_after: Option<Duration>| match retry_after {
            Some(delay) => allows_retry_after && is_within(delay),
            None => !allows_retry_after,
        };
        self.expect_action("rejection, with a retry delay if and only if the settings allow one,", |action| {
            match action {
                Action::Reject { request, retry_after, .. } => {
                    *request == expected && is_expected_delay(*retry_after)
                }
                _ => false,
            }
        })
    }

    fn expect_failure(&mut self, request: RequestId) -> Result {
        self.expect_action("failure", |action| *action == Action::Fail { request })
    }

    fn expect_cancellation(&mut self, expected: RequestId) -> Result {
        self.expect_action("cancellation", |action| match action {
            Action::CancelAttempt { request, .. } => *request == expected,
            _ => false,
        })
    }

    fn expect_watch(&mut self) -> Result {
        self.expect_action("watch", |action| *action == Action::WatchEndpoints { enabled: true })
    }

    fn expect_load(&mut self, expected_function: &str) -> Result {
        let is_load = |action: &Action| match action {
            Action::Load { function, copies: 1, .. } => &**function == expected_function,
            _ => false,
        };
        if let Action::Load { worker, .. } =
            self.take_action(&format!("load command for {expected_function}"), is_load)?
        {
            self.last_load_worker = worker.to_string();
        }
        Ok(())
    }

    fn expect_no_action(&mut self) -> Result {
        self.pending_actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
        if self.pending_actions.is_empty() {
            Ok(())
        } else {
            Err(format!("unexpected actions: {:?}", self.pending_actions))
        }
    }

    /// Returns the size of the scheduler's table that a line names.
    fn table_size(&self, words: &Words) -> usize {
        let sizes = self.scheduler.as_ref().map(|scheduler| scheduler.table_sizes()).unwrap_or_default();
        match words.get(1) {
            Some("workers") => sizes.workers,
            Some("functions") => sizes.functions,
            _ => sizes.open_requests,
        }
    }

    /// Returns the number of attempts at the worker that a line names, since the last `recount` or `restart`.
    fn attempts_at_worker(&self, words: &Words) -> u32 {
        let worker = words.get(1).unwrap_or("");
        self.worker_attempt_counts.get(worker).copied().unwrap_or(0)
    }
}

fn check_bound(words: &Words, is_met: bool, actual: impl FnOnce() -> String) -> Result {
    if is_met { Ok(()) } else { Err(format!("expected '{}', found {}", words.joined(), actual())) }
}
