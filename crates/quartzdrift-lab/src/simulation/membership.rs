//! Membership of the schedulers: the real protocol over a simulated datagram network.
use super::{Event, START, Simulation};
use quartzdrift_membership::{MemberState, Membership, Output, SchedulerCount, Settings};
use quartzdrift_recovery::RestartKind;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a scheduler has after joining to find the other members, before its scheduler count is sampled.
const JOIN_TIME: Duration = Duration::from_secs(10);
/// Share of the on-time share before the kill at which a scheduler counts as recovered.
pub(super) const RECOVERED_SHARE: f64 = 0.95;
/// Length of the sliding window over which the on-time share is computed, and its step.
pub(super) const SHARE_WINDOW: Duration = Duration::from_secs(1);
pub(super) const SHARE_STEP: Duration = Duration::from_millis(250);
/// Time before a kill over which the on-time share to recover is computed.
pub(super) const BASELINE_WINDOW: Duration = Duration::from_secs(10);
/// Recovery time recorded for a scheduler that has not recovered by then.
pub(super) const MAX_RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Time for which a dead member still counts as a scheduler.
const SILENCE_LIMIT: Duration = Duration::from_secs(3600);

/// Membership of a running scheduler.
pub(super) struct SchedulerMembership {
    pub members: Membership,
    count: SchedulerCount,
    scheduler_count: u32,
    joined_at: Duration,
    next_wakeup: Option<Duration>,
}

struct Kill {
    scheduler: usize,
    at: Duration,
    /// Times at which the first and the last other member detected the death.
    detected: Option<(Duration, Duration)>,
}

pub(super) struct Restart {
    scheduler: usize,
    pub killed_at: Duration,
    pub started_at: Duration,
}

/// Kills, restarts and protocol statistics of a run, from which its figures are computed.
#[derive(Default)]
pub(super) struct MembershipStats {
    kills: Vec<Kill>,
    pub restarts: Vec<Restart>,
    false_dead: u64,
    sent_bytes: u64,
    /// Smallest and largest ratio of a scheduler count to the number of running schedulers.
    min_count_share: Option<f64>,
    max_count_share: f64,
}

fn member_address(scheduler: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (scheduler / 250) as u8, (scheduler % 250) as u8], 7000))
}

fn scheduler_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[2]) * 250 + usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Simulation<'_> {
    /// Joins a started scheduler to the cluster, through the members it knew before its kill and the seeds.
    pub(super) fn join_cluster(&mut self, s: usize) {
        if !self.variant.membership {
            return;
        }
        let settings = Settings {
            name: format!("s{s}"),
            address: member_address(s),
            cluster: "emulated".to_owned(),
            seeds: vec![member_address(0), member_address(1)],
            keys: vec![b"emulated".to_vec()],
            ..Settings::default()
        };
        self.last_id += 1;
        let (incarnation, seed) = (self.rng.random_range(1..u64::MAX), self.last_id);
        let (known_addresses, saved_count) = std::mem::take(&mut self.schedulers[s].saved_members);
        let members = Membership::new(settings, incarnation, &known_addresses, seed, self.now);
        let count = SchedulerCount::new(
            self.settings.scheduler_count.unwrap_or(1),
            saved_count,
            SILENCE_LIMIT,
        );
        self.schedulers[s].membership = Some(SchedulerMembership {
            members,
            count,
            scheduler_count: 0,
            joined_at: self.now,
            next_wakeup: None,
        });
        self.process_membership_outputs(s);
    }

    pub(super) fn membership_due(&mut self, s: usize) {
        let now = self.now;
        let Some(membership) = &mut self.schedulers[s].membership else {
            return;
        };
        membership.next_wakeup = None;
        membership.members.due(now);
        self.process_membership_outputs(s);
    }

    pub(super) fn datagram_arrived(&mut self, s: usize, from: usize, bytes: &[u8]) {
        let now = self.now;
        let Some(membership) = &mut self.schedulers[s].membership else {
            return;
        };
        membership.members.receive(now, member_address(from), bytes);
        self.process_membership_outputs(s);
        if self.variant.recovery {
            // A message may have advanced the recovery, whose next timer has to be scheduled.
            self.process_scheduler_outputs(s);
        }
    }

    /// Carries out the outputs of a scheduler's membership, updates its scheduler count and schedules its
    /// next wakeup.
    pub(super) fn process_membership_outputs(&mut self, s: usize) {
        let now = self.now;
        let mut members_changed = false;
        loop {
            let Some(membership) = &mut self.schedulers[s].membership else {
                return;
            };
            let outputs = membership.members.take_outputs();
            if outputs.is_empty() {
                break;
            }
            members_changed |= outputs
                .iter()
                .any(|output| matches!(output, Output::MemberChanged(_)));
            for output in outputs {
                self.process_membership_output(s, output);
            }
        }
        let Some(membership) = &mut self.schedulers[s].membership else {
            return;
        };
        let scheduler_count =
            membership
                .count
                .update(now, members_changed, membership.members.other_members());
        let next = membership.members.next_due();
        let wakes_earlier = membership.next_wakeup.is_none_or(|at| next < at);
        let previous_count = std::mem::replace(&mut membership.scheduler_count, scheduler_count);
        if wakes_earlier {
            membership.next_wakeup = Some(next);
            let incarnation = self.schedulers[s].incarnation;
            self.schedule(next, Event::MembershipDue(s, incarnation));
        }
        if previous_count != scheduler_count {
            if let Some(request_table) = &mut self.schedulers[s].request_table {
                request_table.set_scheduler_count(now, scheduler_count);
            }
            self.process_scheduler_outputs(s);
        }
    }

    fn process_membership_output(&mut self, s: usize, output: Output) {
        let now = self.now;
        match output {
            Output::SendDatagram { to, bytes } => self.send_datagram(s, scheduler_at(to), &bytes),
            Output::MemberChanged(member) if member.state == MemberState::Dead => {
                self.record_death(scheduler_at(member.address));
            }
            Output::MemberChanged(member) => {
                if let (MemberState::Alive, Some(recovery)) =
                    (member.state, &mut self.schedulers[s].recovery.machine)
                {
                    recovery.member_seen(now, &member.name);
                    self.process_recovery_outputs(s);
                }
            }
            Output::MessageReceived { from, bytes, .. } => {
                if let Some(recovery) = &mut self.schedulers[s].recovery.machine {
                    // Tests of the recovery cover undecodable messages; an error has no effect here.
                    let _ = recovery.receive(now, &from, &bytes);
                    self.process_recovery_outputs(s);
                }
            }
            Output::DatagramRejected { .. } | Output::NameConflict { .. } => {}
        }
    }

    /// Sends a datagram through the network with its current faults.
    fn send_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.membership_stats.sent_bytes += bytes.len() as u64;
        let partitioned = self.partition.as_ref().is_some_and(|(cut_off, one_way)| {
            let (from_inside, to_inside) = (cut_off.contains(&from), cut_off.contains(&to));
            from_inside != to_inside && (!one_way || from_inside)
        });
        let lost = self.datagram_loss > 0.0 && self.rng.random_range(0.0..1.0) < self.datagram_loss;
        let duplicated =
            self.datagram_duplication > 0.0 && self.rng.random_range(0.0..1.0) < self.datagram_duplication;
        if to >= self.schedulers.len() || partitioned || lost {
            return;
        }
        for _ in 0..1 + u32::from(duplicated) {
            let event = Event::DatagramArrived {
                to,
                from,
                bytes: bytes.to_vec(),
            };
            if self.max_datagram_delay.is_zero() {
                self.schedule_message(event);
            } else {
                let delay = self.max_datagram_delay.mul_f64(self.rng.random_range(0.0..1.0));
                self.schedule(self.now + delay, event);
            }
        }
    }

    /// Records that a member declared a scheduler dead: a detection of its kill, or a false one. During a
    /// partition false detections are expected and not counted.
    fn record_death(&mut self, scheduler: usize) {
        let now = self.now;
        let is_up = self
            .schedulers
            .get(scheduler)
            .is_some_and(|scheduler| scheduler.request_table.is_some());
        let last_kill = self
            .membership_stats
            .kills
            .iter_mut()
            .rev()
            .find(|kill| kill.scheduler == scheduler);
        match last_kill {
            Some(kill) if !is_up => {
                let (first, last) = kill.detected.get_or_insert((now, now));
                (*first, *last) = ((*first).min(now), now);
            }
            Some(_) | None if self.partition.is_none() => self.membership_stats.false_dead += 1,
            Some(_) | None => {}
        }
    }

    /// Records the kill of a scheduler and saves the checkpoint and the members for its next start.
    pub(super) fn scheduler_killed(&mut self, s: usize) {
        self.membership_stats.kills.push(Kill {
            scheduler: s,
            at: self.now,
            detected: None,
        });
        if let Some(membership) = self.schedulers[s].membership.take() {
            let reachable = membership
                .members
                .reachable_members()
                .map(|member| member.name.to_string())
                .collect();
            self.save_checkpoint(s, reachable);
            let known_addresses = membership
                .members
                .other_members()
                .filter(|member| member.state != MemberState::Left)
                .map(|member| member.address)
                .collect();
            self.schedulers[s].saved_members = (known_addresses, membership.scheduler_count);
        }
    }

    /// Records the restart of a scheduler after its last kill.
    pub(super) fn scheduler_restarted(&mut self, s: usize) {
        let kills = &self.membership_stats.kills;
        if let Some(kill) = kills.iter().rev().find(|kill| kill.scheduler == s) {
            let restart = Restart {
                scheduler: s,
                killed_at: kill.at,
                started_at: self.now,
            };
            self.membership_stats.restarts.push(restart);
        }
    }

    /// Samples the ratio of each scheduler count to the number of running schedulers.
    pub(super) fn sample_scheduler_counts(&mut self) {
        let running = self
            .schedulers
            .iter()
            .filter(|scheduler| scheduler.request_table.is_some())
            .count() as f64;
        let joined = self
            .schedulers
            .iter()
            .filter_map(|scheduler| scheduler.membership.as_ref())
            .filter(|membership| membership.joined_at + JOIN_TIME <= self.now);
        let stats = &mut self.membership_stats;
        for membership in joined {
            let share = f64::from(membership.scheduler_count) / running.max(1.0);
            stats.min_count_share = Some(stats.min_count_share.map_or(share, |min| min.min(share)));
            stats.max_count_share = stats.max_count_share.max(share);
        }
    }

    /// Computes the figures of the membership, of restarts and of power losses.
    pub(super) fn compute_membership_figures(&mut self) {
        let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len().max(1) as f64;
        let (first_detections, last_detections) = self
            .membership_stats
            .kills
            .iter()
            .filter_map(|kill| {
                let (first, last) = kill.detected?;
                Some(((first - kill.at).as_secs_f64(), (last - kill.at).as_secs_f64()))
            })
            .unzip();
        self.figures.first_detection_s = mean(first_detections);
        self.figures.last_detection_s = mean(last_detections);
        self.figures.false_dead = self.membership_stats.false_dead;
        let length_s = self.scenario.length.as_secs_f64().max(1.0);
        self.figures.member_bytes_per_s =
            self.membership_stats.sent_bytes as f64 / length_s / self.schedulers.len() as f64;
        self.figures.min_scheduler_count_share = self.membership_stats.min_count_share.unwrap_or(0.0);
        self.figures.max_scheduler_count_share = self.membership_stats.max_count_share;
        let classifications: Vec<(Duration, RestartKind)> = self
            .schedulers
            .iter()
            .filter_map(|scheduler| scheduler.recovery.classified)
            .collect();
        let mass_failures = classifications
            .iter()
            .filter(|(_, kind)| *kind == RestartKind::MassFailure)
            .count();
        self.figures.mass_failure_share = mass_failures as f64 / self.schedulers.len() as f64;
        let longest = classifications.iter().map(|(duration, _)| *duration).max();
        self.figures.max_classification_s = longest.unwrap_or_default().as_secs_f64();
        self.compute_power_loss_figures();
        let restarts = std::mem::take(&mut self.membership_stats.restarts);
        let recovery_times = restarts
            .iter()
            .map(|restart| self.recovery_time(restart).as_secs_f64());
        self.figures.restart_recovery_s = mean(recovery_times.collect());
        self.figures.max_overload_share = self
            .workers
            .iter()
            .map(|worker| worker.model.max_overload_share)
            .fold(self.max_overload_share, f64::max);
    }

    /// Share of the arrivals of a time range, at one scheduler or at all, that succeeded within their latency
    /// objective; `None` if there were no arrivals.
    pub(super) fn on_time_share(&self, s: Option<usize>, from: Duration, to: Duration) -> Option<f64> {
        let gateways = self.schedulers.len();
        let first = self
            .arrivals
            .partition_point(|arrival| START + crate::traffic::arrival_time(arrival) < from);
        let in_range = self.arrivals[first..]
            .iter()
            .enumerate()
            .take_while(|(_, arrival)| START + crate::traffic::arrival_time(arrival) < to);
        let at_scheduler =
            in_range.filter(|(_, arrival)| s.is_none_or(|s| arrival.gateway_index(gateways) == s));
        let (mut total, mut on_time) = (0u32, 0u32);
        for (n, _) in at_scheduler {
            total += 1;
            on_time += u32::from(self.on_time_arrivals.contains(&(first + n)));
        }
        (total > 0).then(|| f64::from(on_time) / f64::from(total))
    }

    /// Time from a restart until the on-time share of the scheduler's requests reaches `RECOVERED_SHARE` of
    /// the share before its kill.
    fn recovery_time(&self, restart: &Restart) -> Duration {
        let share = |from: Duration, to: Duration| self.on_time_share(Some(restart.scheduler), from, to);
        let baseline = share(
            restart.killed_at.saturating_sub(BASELINE_WINDOW),
            restart.killed_at,
        )
        .unwrap_or(1.0);
        let mut from = restart.started_at;
        while from < restart.started_at + MAX_RECOVERY_TIME {
            // A window without arrivals does not count as recovered.
            if share(from, from + SHARE_WINDOW).is_some_and(|share| share >= baseline * RECOVERED_SHARE) {
                return from - restart.started_at;
            }
            from += SHARE_STEP;
        }
        MAX_RECOVERY_TIME
    }
}
