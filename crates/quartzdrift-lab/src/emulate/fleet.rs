//! Schedulers as members of a fleet: the real membership, over a modelled network of datagrams.
use super::{Ev, START, Sim};
use quartzdrift_membership::{MemberState, Membership, Output, SchedulerCount, Settings};
use quartzdrift_recovery::RestartKind;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// From its start on a scheduler has so long to find the others, before the number it counts is judged.
const FIND: Duration = Duration::from_secs(10);
/// Of the share in time before, what a restarted scheduler has to reach; over how long that is looked at, in which steps.
pub(super) const RECOVERED: f64 = 0.95;
pub(super) const WINDOW: Duration = Duration::from_secs(1);
pub(super) const STEP: Duration = Duration::from_millis(250);
pub(super) const BEFORE: Duration = Duration::from_secs(10);
/// A restart that is not recovered from by then counts as this.
pub(super) const LOOK_FOR: Duration = Duration::from_secs(30);

/// What the emulator keeps of a scheduler as a member.
pub(super) struct Fleet {
    pub members: Membership,
    count: SchedulerCount,
    told: u32,
    since: Duration,
    planned: Option<Duration>,
}

struct Killed {
    scheduler: usize,
    at: Duration,
    /// When the first and the last of the others came to believe it dead.
    found: Option<(Duration, Duration)>,
}

/// Restarts and deaths of a run, for its figures.
#[derive(Default)]
pub(super) struct Deaths {
    killed: Vec<Killed>,
    /// Which, when it was killed, and when it was started again.
    pub restarted: Vec<(usize, Duration, Duration)>,
    false_dead: u64,
    pub bytes: u64,
    told_least: Option<f64>,
    told_most: f64,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 7000))
}

fn index(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => usize::from(at.ip().octets()[2]) * 250 + usize::from(at.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Sim<'_> {
    /// A scheduler that starts joins the fleet; it finds the others by what it saved, if it ran before, or by the seeds.
    pub(super) fn join(&mut self, s: usize) {
        if !self.variant.members {
            return;
        }
        let settings = Settings {
            name: format!("s{s}"),
            address: address(s),
            cluster: "emulated".to_owned(),
            seeds: vec![address(0), address(1)],
            keys: vec![b"emulated".to_vec()],
            ..Settings::default()
        };
        self.drawn += 1;
        let (incarnation, seed) = (self.chance.random_range(1..u64::MAX), self.drawn);
        let (saved, before) = std::mem::take(&mut self.schedulers[s].met);
        let members = Membership::new(settings, incarnation, &saved, seed, self.now);
        let count = SchedulerCount::new(
            self.settings.scheduler_count.unwrap_or(1),
            before,
            Duration::from_secs(3600),
        );
        let (since, planned) = (self.now, None);
        self.schedulers[s].fleet = Some(Fleet {
            members,
            count,
            told: 0,
            since,
            planned,
        });
        self.fleet_changed(s);
    }

    pub(super) fn fleet_due(&mut self, s: usize) {
        let now = self.now;
        let Some(fleet) = &mut self.schedulers[s].fleet else {
            return;
        };
        fleet.planned = None;
        fleet.members.due(now);
        self.fleet_changed(s);
    }

    pub(super) fn datagram(&mut self, s: usize, from: usize, bytes: &[u8]) {
        let now = self.now;
        let Some(fleet) = &mut self.schedulers[s].fleet else {
            return;
        };
        fleet.members.receive(now, address(from), bytes);
        self.fleet_changed(s);
        if self.variant.recovery {
            // What was told may be news to tell on.
            self.outputs(s);
        }
    }

    pub(super) fn fleet_changed(&mut self, s: usize) {
        let now = self.now;
        let mut changed = false;
        loop {
            let Some(fleet) = &mut self.schedulers[s].fleet else {
                return;
            };
            let outputs = fleet.members.take_outputs();
            if outputs.is_empty() {
                break;
            }
            changed |= outputs
                .iter()
                .any(|output| matches!(output, Output::MemberChanged(_)));
            for output in outputs {
                self.fleet_output(s, output);
            }
        }
        let Some(fleet) = &mut self.schedulers[s].fleet else {
            return;
        };
        let told = fleet.count.update(now, changed, fleet.members.other_members());
        let next = fleet.members.next_due();
        let plans = fleet.planned.is_none_or(|at| next < at);
        let changes = std::mem::replace(&mut fleet.told, told) != told;
        if plans {
            fleet.planned = Some(next);
            let incarnation = self.schedulers[s].incarnation;
            self.put(next, Ev::FleetDue(s, incarnation));
        }
        if changes {
            if let Some(request_table) = &mut self.schedulers[s].request_table {
                request_table.set_scheduler_count(now, told);
            }
            self.outputs(s);
        }
    }

    fn fleet_output(&mut self, s: usize, output: Output) {
        let now = self.now;
        match output {
            Output::SendDatagram { to, bytes } => {
                self.deaths.bytes += bytes.len() as u64;
                let to = index(to);
                let apart = self.apart.as_ref().is_some_and(|(some, one_way)| {
                    let (from_some, to_some) = (some.contains(&s), some.contains(&to));
                    from_some != to_some && (!one_way || from_some)
                });
                let lost = self.loss > 0.0 && self.chance.random_range(0.0..1.0) < self.loss;
                let twice = self.doubled > 0.0 && self.chance.random_range(0.0..1.0) < self.doubled;
                for _ in 0..if to >= self.schedulers.len() || apart || lost {
                    0
                } else {
                    1 + u32::from(twice)
                } {
                    let event = Ev::Datagram {
                        to,
                        from: s,
                        bytes: bytes.clone(),
                    };
                    match self.late.is_zero() {
                        true => self.later(event),
                        false => {
                            let at = self.now + self.late.mul_f64(self.chance.random_range(0.0..1.0));
                            self.put(at, event);
                        }
                    }
                }
            }
            Output::MemberChanged(m) if m.state == MemberState::Dead => {
                let of = index(m.address);
                let up = self
                    .schedulers
                    .get(of)
                    .is_some_and(|of| of.request_table.is_some());
                match self
                    .deaths
                    .killed
                    .iter_mut()
                    .rev()
                    .find(|killed| killed.scheduler == of)
                {
                    Some(killed) if !up => {
                        let (first, last) = killed.found.get_or_insert((now, now));
                        (*first, *last) = ((*first).min(now), now);
                    }
                    Some(_) | None if self.apart.is_none() => self.deaths.false_dead += 1,
                    Some(_) | None => {}
                }
            }
            Output::MemberChanged(m) => {
                if let (MemberState::Alive, Some(machine)) =
                    (m.state, &mut self.schedulers[s].returning.machine)
                {
                    machine.member_seen(now, &m.name);
                    self.return_says(s);
                }
            }
            Output::MessageReceived { from, bytes, .. } => {
                if let Some(machine) = &mut self.schedulers[s].returning.machine {
                    // What is not understood is refused by a test of its own.
                    let _ = machine.receive(now, &from, &bytes);
                    self.return_says(s);
                }
            }
            Output::DatagramRejected { .. } | Output::NameConflict { .. } => {}
        }
    }

    /// A scheduler is killed: what it had saved of the fleet is there at its next start.
    pub(super) fn fleet_killed(&mut self, s: usize) {
        self.deaths.killed.push(Killed {
            scheduler: s,
            at: self.now,
            found: None,
        });
        if let Some(fleet) = self.schedulers[s].fleet.take() {
            self.return_killed(
                s,
                fleet
                    .members
                    .reachable_members()
                    .map(|m| m.name.to_string())
                    .collect(),
            );
            let known = fleet
                .members
                .other_members()
                .filter(|m| m.state != MemberState::Left)
                .map(|m| m.address);
            self.schedulers[s].met = (known.collect(), fleet.told);
        }
    }

    pub(super) fn fleet_restarted(&mut self, s: usize) {
        let killed = self
            .deaths
            .killed
            .iter()
            .rev()
            .find(|killed| killed.scheduler == s);
        if let Some(killed) = killed {
            self.deaths.restarted.push((s, killed.at, self.now));
        }
    }

    /// Looks at the numbers that schedulers count against those that are there.
    pub(super) fn sample_fleet(&mut self) {
        let up = self
            .schedulers
            .iter()
            .filter(|s| s.request_table.is_some())
            .count() as f64;
        let settled = self
            .schedulers
            .iter()
            .filter_map(|s| s.fleet.as_ref())
            .filter(|f| f.since + FIND <= self.now);
        for fleet in settled {
            let share = f64::from(fleet.told) / up.max(1.0);
            self.deaths.told_least = Some(self.deaths.told_least.map_or(share, |least| least.min(share)));
            self.deaths.told_most = self.deaths.told_most.max(share);
        }
    }

    /// Puts what the fleet came to into the figures of the run.
    pub(super) fn fleet_figures(&mut self) {
        let length = self.script.length.as_secs_f64().max(1.0);
        let found: Vec<(f64, f64)> = self
            .deaths
            .killed
            .iter()
            .filter_map(|killed| {
                let (first, last) = killed.found?;
                Some((
                    (first - killed.at).as_secs_f64(),
                    (last - killed.at).as_secs_f64(),
                ))
            })
            .collect();
        let mean = |of: Vec<f64>| of.iter().sum::<f64>() / of.len().max(1) as f64;
        self.figures.found_first_s = mean(found.iter().map(|f| f.0).collect());
        self.figures.found_last_s = mean(found.iter().map(|f| f.1).collect());
        self.figures.false_dead = self.deaths.false_dead;
        self.figures.member_bytes_s = self.deaths.bytes as f64 / length / self.schedulers.len() as f64;
        self.figures.told_least = self.deaths.told_least.unwrap_or(0.0);
        self.figures.told_most = self.deaths.told_most;
        let judged: Vec<_> = self
            .schedulers
            .iter()
            .filter_map(|s| s.returning.judged)
            .collect();
        let lost = judged
            .iter()
            .filter(|(_, kind)| *kind == RestartKind::MassFailure)
            .count();
        self.figures.judged_lost = lost as f64 / self.schedulers.len() as f64;
        let most = judged.iter().map(|(took, _)| *took).max().unwrap_or_default();
        self.figures.judged_most_s = most.as_secs_f64();
        self.power_figures();
        let restarts = std::mem::take(&mut self.deaths.restarted);
        let times = restarts
            .iter()
            .map(|(s, killed, at)| self.recovered(*s, *killed, *at).as_secs_f64());
        self.figures.recovered_s = mean(times.collect());
        self.figures.cold_most = self
            .workers
            .iter()
            .map(|w| w.model.cold_most)
            .fold(self.cold_most, f64::max);
    }

    /// Of the calls of this time, to one scheduler or to all, the share that was finished in time; `None`: there were none.
    pub(super) fn share(&self, s: Option<usize>, from: Duration, to: Duration) -> Option<f64> {
        let gateways = self.schedulers.len();
        let first = self
            .arrivals
            .partition_point(|a| START + crate::traffic::arrival_time(a) < from);
        let of = self.arrivals[first..]
            .iter()
            .enumerate()
            .take_while(|(_, a)| START + crate::traffic::arrival_time(a) < to);
        let own = of.filter(|(_, a)| s.is_none_or(|s| a.gateway_index(gateways) == s));
        let (mut all, mut good) = (0u32, 0u32);
        for (n, _) in own {
            all += 1;
            good += u32::from(self.in_time.contains(&(first + n)));
        }
        (all > 0).then(|| f64::from(good) / f64::from(all))
    }

    /// How long after its restart calls to a scheduler were in time as often as before it was killed.
    fn recovered(&self, s: usize, killed: Duration, at: Duration) -> Duration {
        let share = |from: Duration, to: Duration| self.share(Some(s), from, to);
        let before = share(killed.saturating_sub(BEFORE), killed).unwrap_or(1.0);
        let mut from = at;
        while from < at + LOOK_FOR {
            // A window in which nothing came says nothing.
            if share(from, from + WINDOW).is_some_and(|share| share >= before * RECOVERED) {
                return from - at;
            }
            from += STEP;
        }
        LOOK_FOR
    }
}
