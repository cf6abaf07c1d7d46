//! The lease of the endpoint list, and the eligibility of workers after it has lapsed.
//!
//! An outage of discovery is not announced: it may begin right after the last confirmation of the endpoint
//! list. Until the lease ends, the entries of the list count. After that, a worker may have been draining
//! since the last command that it is known to have accepted, or since the end of the lease, whichever is
//! later. It receives no more work once the drain grace has passed since then. A command that a worker
//! accepts proves that it was not draining when the command was sent, and so keeps the worker eligible.
use super::constants::{CONFIRMATION_OVERDUE_SHARE, MIN_PREFERRED_UNCONFIRMED, PROOF_RENEWAL_SHARE};
use crate::interface::{Action, EndpointState, Notice, WorkerStanding};
use crate::messages::{CacheStatus, Candidate, ProofRenewal};
use crate::state::{ActivityProof, DecisionContext, LeaseView, Scheduler, Worker};
use std::time::Duration;

impl Scheduler {
    /// Records that the endpoint list was current at the time `as_of`. Its entries replace all proofs and
    /// suspicions up to that time.
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

    /// Returns the time since the last confirmation of the endpoint list; `None`: not confirmed since the
    /// start.
    fn lease_age(&self) -> Option<Duration> {
        self.lease.confirmed_at.map(|at| self.now.saturating_sub(at))
    }

    /// Returns the scheduler-wide inputs of a worker's decisions.
    pub(super) fn context(&self) -> DecisionContext<'_> {
        DecisionContext { now: self.now, settings: &self.settings, lease: self.lease_view() }
    }

    /// Returns the lease as the decisions on a single worker use it.
    pub(super) fn lease_view(&self) -> LeaseView {
        let confirmed_at = self.lease.confirmed_at;
        let Some(lease) = self.settings.endpoint_lease else {
            return LeaseView { confirmed_at, ..LeaseView::default() };
        };
        let overdue_at = confirmed_at.unwrap_or_default() + lease.mul_f64(CONFIRMATION_OVERDUE_SHARE);
        LeaseView {
            confirmed_at,
            holds_until: Some(confirmed_at.map_or(Duration::ZERO, |at| at + lease)),
            is_unconfirmed: self.lease.fetch_failed || self.now > overdue_at,
        }
    }

    /// Returns the candidate whose proof this request renews while the endpoint list is unconfirmed: among
    /// the candidates that probably have the function cached, and so respond soon, the one without a command
    /// for the longest time. Without such renewals all requests would go to the few workers that rank first,
    /// and the others would become ineligible at the end of the lease and remain so.
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

    /// Returns the minimum number of preferred workers of a function. While the endpoint list is unconfirmed,
    /// the function's requests renew the proofs of several workers. These are the same workers for all
    /// schedulers, so that few copies are loaded.
    pub(super) fn min_preferred_count(&self) -> usize {
        if self.lease_view().is_unconfirmed { MIN_PREFERRED_UNCONFIRMED } else { 0 }
    }

    /// Whether the lease of the endpoint list has not lapsed.
    pub(super) fn lease_holds(&self) -> bool {
        !self.lease_view().has_lapsed(self.now)
    }

    /// Emits notices when the lease has lapsed, when a worker's standing has changed, and when the last
    /// usable worker is lost or a worker is usable again.
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
    /// Returns the renewal of the worker's proof; `None`: none is due.
    fn due_renewal(&self, context: DecisionContext) -> Option<ProofRenewal> {
        let proven = self.proof(context).map(|proof| proof.last_sent_at);
        let in_flight = self.attempts.iter().map(|attempt| attempt.sent_at).max();
        let last_sent_at = proven.max(in_flight);
        let age = last_sent_at.map(|at| context.now.saturating_sub(at));
        let is_due = age.is_none_or(|age| age >= context.settings.drain_grace.mul_f64(PROOF_RENEWAL_SHARE));
        is_due.then_some(ProofRenewal { last_sent_at })
    }

    /// Returns the end of the time in which the worker may receive new work; `None`: no end.
    pub(super) fn usable_until(&self, context: DecisionContext) -> Option<Duration> {
        let lease_end = context.lease.holds_until?;
        let proven = self.proof(context).map_or(Duration::ZERO, |proof| proof.last_sent_at);
        let known_up_at = lease_end.max(proven);
        Some(if known_up_at.is_zero() { known_up_at } else { known_up_at + context.settings.drain_grace })
    }

    /// Whether the worker may receive new work now, by the age of the endpoint list and by the worker's
    /// proof.
    pub(super) fn may_receive_work(&self, context: DecisionContext) -> bool {
        // Within the lease the worker's proof makes no difference.
        let is_within_lease = context.lease.holds_until.is_none_or(|until| context.now < until);
        is_within_lease || self.usable_until(context).is_none_or(|until| context.now < until)
    }

    /// Returns the worker's proof if it is later than the last confirmation of the endpoint list.
    fn proof(&self, context: DecisionContext) -> Option<ActivityProof> {
        self.proof.filter(|proof| Some(proof.last_sent_at) > context.lease.confirmed_at)
    }

    /// Whether the worker rejected an attempt while the endpoint list was unconfirmed, with neither a
    /// confirmation nor an accepted command since. It may be draining: such a worker rejects at once, appears
    /// idle, and would attract more than its share of requests.
    pub(super) fn is_suspected(&self, context: DecisionContext) -> bool {
        context.lease.is_unconfirmed
            && self.suspected_at.is_some_and(|at| Some(at) > context.lease.confirmed_at)
    }

    /// Records that the worker accepted a command sent at `sent_at`, which proves that it was not draining
    /// then.
    pub(super) fn record_accepted(&mut self, sent_at: Duration, context: DecisionContext) {
        let is_continued =
            |proof: &ActivityProof| sent_at <= proof.last_sent_at + context.settings.drain_grace;
        let first_sent_at = self
            .proof(context)
            .filter(is_continued)
            .map_or(sent_at, |proof| proof.first_sent_at.min(sent_at));
        let last_sent_at = self.proof.map_or(sent_at, |proof| proof.last_sent_at.max(sent_at));
        self.proof = Some(ActivityProof { first_sent_at, last_sent_at });
        self.suspected_at = self.suspected_at.filter(|at| sent_at <= *at);
    }

    /// Records that the worker rejected an attempt.
    pub(super) fn record_rejected(&mut self, context: DecisionContext) {
        if context.lease.is_unconfirmed {
            self.suspected_at = Some(context.now);
        }
    }

    /// Records that a connection to the worker was lost: a new process may have replaced it.
    pub(super) fn record_disconnected(&mut self, context: DecisionContext) {
        if context.lease.is_unconfirmed {
            self.proof = None;
        }
    }

    /// Returns the time at which the worker's process is assumed to have restarted without an update of the
    /// endpoint list; `None`: no restart is assumed. Once the lease has lapsed, that time is the end of the
    /// lease, unless the worker's proof began before: then the process is still the same.
    pub(super) fn possible_start(&self, context: DecisionContext) -> Option<Duration> {
        let lease_end = context.lease.holds_until.filter(|_| context.lease.has_lapsed(context.now))?;
        let spans_lease_end = self.proof(context).is_some_and(|proof| proof.first_sent_at <= lease_end);
        (!spans_lease_end).then_some(lease_end)
    }

    /// Returns the worker's standing for notices.
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
