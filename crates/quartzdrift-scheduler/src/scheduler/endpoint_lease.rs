//! The endpoint list as a lease: how long its word for a worker holds once discovery falls silent, and what a
//! worker's own answers prove after that.
//!
//! Nobody tells us when discovery falls silent: that may be right behind the last sign that the list was
//! current. What it would have told counts as told when the lease ends, and at once after that. From then on
//! a worker may be draining since the last command that it is known to have taken, and gets nothing once the
//! grace has passed.
use super::constants::{CONFIRMATION_OVERDUE_SHARE, MIN_PREFERRED_UNCONFIRMED, PROOF_RENEWAL_SHARE};
use crate::interface::{Action, EndpointState, Notice, WorkerStanding};
use crate::messages::{CacheStatus, Candidate, ProofRenewal};
use crate::state::{ActivityProof, DecisionContext, LeaseView, Scheduler, Worker};
use std::time::Duration;

impl Scheduler {
    /// The list is known to have been current at `as_of`: whatever it said before that holds, and settles
    /// what was proven or suspected until then.
    pub(super) fn confirm_endpoints(&mut self, as_of: Duration) {
        let age = self.lease_age();
        self.lease.confirmed_at = self.lease.confirmed_at.max(Some(as_of));
        self.lease.fetch_failed = false;
        self.lease.has_no_usable_worker = false;
        for worker in &mut self.workers {
            worker.reported_standing = WorkerStanding::Listed;
        }
        if std::mem::take(&mut self.lease.has_lapsed) {
            self.actions.push(Action::Notice(Notice::LeaseRenewed { age }));
        }
    }

    /// How long ago the list was last known to be current.
    fn lease_age(&self) -> Option<Duration> {
        self.lease.confirmed_at.map(|at| self.now.saturating_sub(at))
    }

    /// What the decisions on a worker rest on besides its state.
    pub(super) fn context(&self) -> DecisionContext<'_> {
        DecisionContext { now: self.now, settings: &self.settings, lease: self.lease_view() }
    }

    pub(super) fn lease_view(&self) -> LeaseView {
        let confirmed_at = self.lease.confirmed_at;
        let Some(lease) = self.settings.endpoint_lease else {
            return LeaseView { confirmed_at, ..LeaseView::default() };
        };
        let overdue = confirmed_at.unwrap_or_default() + lease.mul_f64(CONFIRMATION_OVERDUE_SHARE);
        LeaseView {
            confirmed_at,
            holds_until: Some(confirmed_at.map_or(Duration::ZERO, |at| at + lease)),
            is_unconfirmed: self.lease.fetch_failed || self.now > overdue,
        }
    }

    /// The candidate whose proof is renewed by this request: of those that are taken to have the function
    /// cached, and so answer soon, the one that was sent nothing for longest. Without it all requests would
    /// go to the few workers that rank first, and no other could be used once the list's word ends, nor ever
    /// after.
    pub(super) fn renewed_candidate(&self, candidates: &[Candidate]) -> Option<Candidate> {
        let context = self.context();
        if !context.lease.is_unconfirmed {
            return None;
        }
        let cached = candidates.iter().filter(|candidate| candidate.cache_status != CacheStatus::NotWarm);
        let due = cached.filter_map(|candidate| {
            let renewal = self.workers[candidate.worker].due_renewal(context)?;
            Some((renewal, candidate))
        });
        due.min_by_key(|(renewal, _)| *renewal).map(|(_, candidate)| *candidate)
    }

    /// How many workers are preferred for a function at least. While the list is doubted, there are several
    /// whose proofs its requests renew, the same ones for all schedulers, so that the fleet makes few copies
    /// for it.
    pub(super) fn min_preferred_count(&self) -> usize {
        if self.lease_view().is_unconfirmed { MIN_PREFERRED_UNCONFIRMED } else { 0 }
    }

    /// Whether the list's word for its workers still holds.
    pub(super) fn lease_holds(&self) -> bool {
        !self.lease_view().has_lapsed(self.now)
    }

    /// Notices that the lease has lapsed, and what that means for each worker.
    pub(super) fn check_lease(&mut self) {
        let lease = self.lease_view();
        if !lease.is_unconfirmed {
            return;
        }
        if lease.has_lapsed(self.now) && !std::mem::replace(&mut self.lease.has_lapsed, true) {
            let age = self.lease_age();
            self.actions.push(Action::Notice(Notice::LeaseLapsed { age }));
        }
        let context = DecisionContext { now: self.now, settings: &self.settings, lease };
        let (mut listed, mut usable) = (0, 0);
        let up = self.workers.iter_mut().filter(|worker| worker.endpoint.state == EndpointState::Up);
        for worker in up {
            let standing = worker.standing(context);
            listed += 1;
            usable += usize::from(worker.may_receive_work(context));
            if std::mem::replace(&mut worker.reported_standing, standing) != standing {
                let worker = self.worker_names.name(worker.index);
                self.actions.push(Action::Notice(Notice::WorkerStanding { worker, standing }));
            }
        }
        if std::mem::replace(&mut self.lease.has_no_usable_worker, usable == 0) != (usable == 0) {
            self.actions.push(Action::Notice(Notice::UsableWorkers { listed, usable }));
        }
    }
}

impl Worker {
    /// A renewal of the worker's proof, if one is due.
    fn due_renewal(&self, context: DecisionContext) -> Option<ProofRenewal> {
        let proven = self.proof(context).map(|proof| proof.last_sent_at);
        let in_flight = self.attempts.iter().map(|attempt| attempt.sent_at).max();
        let last_sent = proven.max(in_flight);
        let age = last_sent.map(|at| context.now.saturating_sub(at));
        let is_due = age.is_none_or(|age| age >= context.settings.drain_grace.mul_f64(PROOF_RENEWAL_SHARE));
        is_due.then_some(ProofRenewal { last_sent_at: last_sent })
    }

    /// The last time at which something new may be sent to the worker; `None`: any time.
    pub(super) fn usable_until(&self, context: DecisionContext) -> Option<Duration> {
        let told = context.lease.holds_until?;
        let proven = self.proof(context).map_or(Duration::ZERO, |proof| proof.last_sent_at);
        let known = told.max(proven);
        Some(if known.is_zero() { known } else { known + context.settings.drain_grace })
    }

    /// Whether something new may be sent to the worker now, as far as the list's age tells.
    pub(super) fn may_receive_work(&self, context: DecisionContext) -> bool {
        // While the list's word holds, the worker's own proofs need not be looked at.
        let holds = context.lease.holds_until.is_none_or(|until| context.now < until);
        holds || self.usable_until(context).is_none_or(|until| context.now < until)
    }

    /// What the worker has proven since the list was last known to be current.
    fn proof(&self, context: DecisionContext) -> Option<ActivityProof> {
        self.proof.filter(|proof| Some(proof.last_sent_at) > context.lease.confirmed_at)
    }

    /// It has turned an attempt away while the list could not be confirmed, and nothing has settled that
    /// since: a worker that drains answers at once, looks idle, and would draw more than its share.
    pub(super) fn is_suspected(&self, context: DecisionContext) -> bool {
        context.lease.is_unconfirmed
            && self.suspected_at.is_some_and(|at| Some(at) > context.lease.confirmed_at)
    }

    /// It took a command that was sent at `sent_at`, so it did not drain then.
    pub(super) fn record_accepted(&mut self, sent_at: Duration, context: DecisionContext) {
        let is_continued =
            |proof: &ActivityProof| sent_at <= proof.last_sent_at + context.settings.drain_grace;
        let first = self
            .proof(context)
            .filter(is_continued)
            .map_or(sent_at, |proof| proof.first_sent_at.min(sent_at));
        let last = self.proof.map_or(sent_at, |proof| proof.last_sent_at.max(sent_at));
        self.proof = Some(ActivityProof { first_sent_at: first, last_sent_at: last });
        self.suspected_at = self.suspected_at.filter(|at| sent_at <= *at);
    }

    /// It turned an attempt away.
    pub(super) fn record_rejected(&mut self, context: DecisionContext) {
        if context.lease.is_unconfirmed {
            self.suspected_at = Some(context.now);
        }
    }

    /// Its connections ended: another process may be there by now.
    pub(super) fn record_disconnected(&mut self, context: DecisionContext) {
        if context.lease.is_unconfirmed {
            self.proof = None;
        }
    }

    /// When the worker may have been started, for all that the list can tell: a start counts as told when the
    /// lease ends, and a worker that was at work by then and went on is the same process.
    pub(super) fn possible_start(&self, context: DecisionContext) -> Option<Duration> {
        let told = context.lease.holds_until.filter(|_| context.lease.has_lapsed(context.now))?;
        let was_at_work = self.proof(context).is_some_and(|proof| proof.first_sent_at <= told);
        (!was_at_work).then_some(told)
    }

    fn standing(&self, context: DecisionContext) -> WorkerStanding {
        if !self.may_receive_work(context) {
            WorkerStanding::Unproven
        } else if self.is_suspected(context) {
            WorkerStanding::Suspected
        } else if context.lease.has_lapsed(context.now) && self.proof(context).is_some() {
            WorkerStanding::Proven
        } else {
            WorkerStanding::Listed
        }
    }
}
