//! Fleets over a modelled network: what the published protocol promises, and the hard cases.
use quartzdrift_membership::{Members, Output, Refused, Settings, State};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7000))
}

fn settings(n: usize) -> Settings {
    Settings {
        name: format!("m{n}"),
        address: address(n),
        cluster: "test".to_owned(),
        seeds: vec![address(0), address(1)],
        keys: vec![b"first".to_vec()],
        ..Settings::default()
    }
}

/// Datagrams take half a millisecond to three; some are lost; some pairs do not hear each other.
struct Net {
    now: Duration,
    members: Vec<Option<Members>>,
    /// Does nothing until then, and takes what came meanwhile afterwards.
    paused: Vec<Duration>,
    air: BTreeMap<(Duration, u64), (usize, usize, Vec<u8>)>,
    drawn: u64,
    chance: StdRng,
    loss: f64,
    /// From, to: what is not carried.
    cut: BTreeSet<(usize, usize)>,
    refused: Vec<(usize, Refused)>,
    /// Who came to believe what of whom, when.
    changes: Vec<(Duration, usize, String, State)>,
    told: Vec<(usize, Vec<u8>)>,
    taken: Vec<usize>,
    bytes: u64,
}

impl Net {
    fn new(size: usize, seed: u64) -> Net {
        let mut net = Net {
            now: Duration::ZERO,
            members: Vec::new(),
            paused: vec![Duration::ZERO; size],
            air: BTreeMap::new(),
            drawn: seed << 32,
            chance: StdRng::seed_from_u64(seed),
            loss: 0.0,
            cut: BTreeSet::new(),
            refused: Vec::new(),
            changes: Vec::new(),
            told: Vec::new(),
            taken: Vec::new(),
            bytes: 0,
        };
        (0..size).for_each(|n| {
            net.members.push(None);
            net.start(n);
        });
        net
    }

    fn start(&mut self, n: usize) {
        self.start_with(n, settings(n));
    }

    fn start_with(&mut self, n: usize, settings: Settings) {
        self.drawn += 1;
        let life = self.chance.random_range(1..u64::MAX);
        self.members[n] = Some(Members::new(settings, life, &[], self.drawn, self.now));
    }

    fn at(to: SocketAddr) -> usize {
        let SocketAddr::V4(to) = to else {
            unreachable!("all are of the fourth version")
        };
        usize::from(to.ip().octets()[2]) * 250 + usize::from(to.ip().octets()[3])
    }

    fn outputs(&mut self, n: usize) {
        let outputs = self.members[n].as_mut().map(Members::outputs).unwrap_or_default();
        for output in outputs {
            match output {
                Output::Send { to, bytes } => {
                    assert!(bytes.len() <= 1200);
                    self.bytes += bytes.len() as u64;
                    self.carry(n, Net::at(to), bytes);
                }
                Output::Changed(of) => self.changes.push((self.now, n, of.name.to_string(), of.state)),
                Output::Refused { why, .. } => self.refused.push((n, why)),
                Output::NameTaken { .. } => self.taken.push(n),
                Output::Told { bytes, .. } => self.told.push((n, bytes)),
            }
        }
    }

    fn carry(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if to >= self.members.len()
            || self.cut.contains(&(from, to))
            || self.chance.random_range(0.0..1.0) < self.loss
        {
            return;
        }
        self.drawn += 1;
        let at = self.now + Duration::from_micros(self.chance.random_range(500..3000));
        self.air
            .insert((at.max(self.paused[to]), self.drawn), (from, to, bytes));
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        loop {
            let next = (0..self.members.len())
                .filter_map(|n| Some((self.members[n].as_ref()?.next_due().max(self.paused[n]), n)))
                .min();
            let air = self.air.first_key_value().map(|(key, _)| key.0);
            let due = next.map(|(at, _)| at);
            let Some(at) = due.into_iter().chain(air).min().filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            if air == Some(at) && due.is_none_or(|due| at <= due) {
                let Some((_, (from, to, bytes))) = self.air.pop_first() else {
                    break;
                };
                if let Some(member) = &mut self.members[to] {
                    member.packet(self.now, address(from), &bytes);
                }
                self.outputs(to);
            } else if let Some((_, n)) = next {
                if let Some(member) = &mut self.members[n] {
                    member.due(self.now);
                }
                self.outputs(n);
            }
        }
        self.now = end;
    }

    fn state(&self, of: usize, about: usize) -> Option<State> {
        let name = format!("m{about}");
        self.members[of]
            .as_ref()?
            .others()
            .find(|m| *m.name == *name)
            .map(|m| m.state)
    }

    /// Whether each of these believes all of them to be alive.
    fn whole(&self, of: impl Iterator<Item = usize> + Clone) -> bool {
        of.clone().all(|a| {
            of.clone()
                .all(|b| a == b || self.state(a, b) == Some(State::Alive))
        })
    }

    fn first(&self, about: usize, state: State) -> Option<Duration> {
        let name = format!("m{about}");
        self.changes
            .iter()
            .find(|c| c.2 == name && c.3 == state)
            .map(|c| c.0)
    }
}

#[test]
fn a_fleet_finds_itself_and_a_dead_member_is_found_by_all() {
    let mut net = Net::new(17, 1);
    net.run(8 * S);
    assert!(net.whole(0..17));
    net.members[5] = None;
    let died = net.now;
    net.run(60 * S);
    assert!(
        (0..17)
            .filter(|n| *n != 5)
            .all(|n| net.state(n, 5) == Some(State::Dead))
    );
    let found = net.first(5, State::Dead).unwrap() - died;
    assert!(found > 4 * S && found < 45 * S, "{found:?}");
    // Restarted under its name it is there again at once.
    net.start(5);
    net.run(8 * S);
    assert!(net.whole(0..17));
}

#[test]
fn hardly_anybody_is_thought_dead_while_a_tenth_or_a_third_is_lost() {
    for (loss, most) in [(0.1, 0), (0.3, 4)] {
        let mut wrong = 0;
        for seed in 0..4 {
            let mut net = Net::new(17, seed);
            net.run(5 * S);
            net.loss = loss;
            net.run(100 * S);
            wrong += net.changes.iter().filter(|c| c.3 == State::Dead).count();
            net.loss = 0.0;
            net.run(60 * S);
            assert!(net.whole(0..17));
        }
        assert!(wrong <= most, "{wrong} of 4 times 17 members at {loss}");
    }
}

#[test]
fn half_of_the_fleet_killed_and_restarted_together_is_whole_again() {
    let mut net = Net::new(20, 3);
    net.run(8 * S);
    (0..10).for_each(|n| net.members[n] = None);
    net.run(S);
    (0..10).for_each(|n| net.start(n));
    net.run(20 * S);
    assert!(
        net.whole(0..20),
        "{:?}",
        net.changes.iter().rev().take(4).collect::<Vec<_>>()
    );
    assert!(!net.changes.iter().any(|c| c.3 == State::Dead));
}

#[test]
fn both_sides_of_a_broken_network_find_each_other_again() {
    let mut net = Net::new(12, 4);
    net.run(8 * S);
    for a in 0..6 {
        (6..12).for_each(|b| {
            net.cut.extend([(a, b), (b, a)]);
        });
    }
    net.run(90 * S);
    assert!(net.whole(0..6) && net.whole(6..12));
    assert!((0..6).all(|a| (6..12).all(|b| net.state(a, b) == Some(State::Dead))));
    net.cut.clear();
    net.run(90 * S);
    assert!(net.whole(0..12));
}

#[test]
fn a_member_that_hears_and_is_not_heard_by_one_is_no_dead_member() {
    let mut net = Net::new(10, 5);
    net.run(8 * S);
    net.cut.insert((3, 4));
    net.run(120 * S);
    // The others relay for the pair.
    assert!(net.whole(0..10) || net.state(4, 3) == Some(State::Suspect));
    assert!(!net.changes.iter().any(|c| c.3 == State::Dead));
}

#[test]
fn a_paused_member_returns_with_old_news_and_harms_nobody() {
    let mut net = Net::new(12, 6);
    net.run(8 * S);
    net.paused[2] = net.now + 10 * S;
    net.members[7] = None;
    net.run(10 * S);
    let before = net.changes.len();
    net.start(7);
    net.run(40 * S);
    assert!(net.whole(0..12));
    // It blames nobody for its own sleep.
    assert!(
        !net.changes[before..]
            .iter()
            .any(|c| c.1 == 2 && c.3 == State::Dead && c.2 != "m7")
    );
}

#[test]
fn with_all_seeds_down_at_start_the_fleet_forms_once_one_is_there() {
    let mut net = Net::new(6, 7);
    net.members[0] = None;
    net.members[1] = None;
    net.run(20 * S);
    assert!((2..6).all(|n| net.members[n].as_ref().unwrap().others().count() == 0));
    net.start(1);
    net.run(60 * S);
    assert!(net.whole(1..6));
}

#[test]
fn a_member_that_leaves_is_not_taken_for_dead() {
    let mut net = Net::new(8, 8);
    net.run(8 * S);
    let now = net.now;
    net.members[3].as_mut().unwrap().leave(now);
    net.outputs(3);
    net.run(S);
    net.members[3] = None;
    net.run(30 * S);
    assert!(
        (0..8)
            .filter(|n| *n != 3)
            .all(|n| net.state(n, 3) == Some(State::Left))
    );
    assert!(!net.changes.iter().any(|c| c.3 == State::Dead));
}

#[test]
fn a_second_member_of_a_name_is_told_and_changes_nothing() {
    let mut net = Net::new(6, 9);
    net.run(8 * S);
    net.members.push(None);
    net.paused.push(Duration::ZERO);
    net.start_with(
        6,
        Settings {
            name: "m2".to_owned(),
            address: address(6),
            ..settings(2)
        },
    );
    net.run(30 * S);
    assert!(net.taken.contains(&6), "{:?}", net.taken);
    assert!(net.whole(0..6));
    let of = net.members[0]
        .as_ref()
        .unwrap()
        .others()
        .find(|m| *m.name == *"m2")
        .unwrap();
    assert_eq!(of.address, address(2));
    // Once the first is gone the name is free.
    net.members[2] = None;
    net.run(120 * S);
    let of = net.members[0]
        .as_ref()
        .unwrap()
        .others()
        .find(|m| *m.name == *"m2")
        .unwrap();
    assert_eq!((of.address, of.state), (address(6), State::Alive));
}

#[test]
fn a_key_is_changed_with_nobody_lost_and_without_it_nobody_gets_in() {
    let mut net = Net::new(5, 10);
    net.run(8 * S);
    let keys = |keys: &[&[u8]]| keys.iter().map(|key| key.to_vec()).collect::<Vec<_>>();
    // One after the other is restarted, first with the new key as second, then as first, then alone.
    for keys in [
        keys(&[b"first", b"new"]),
        keys(&[b"new", b"first"]),
        keys(&[b"new"]),
    ] {
        for n in 0..5 {
            net.members[n] = None;
            net.start_with(
                n,
                Settings {
                    keys: keys.clone(),
                    ..settings(n)
                },
            );
            net.run(3 * S);
        }
        net.run(20 * S);
        assert!(net.whole(0..5), "{keys:?}");
    }
    assert!(!net.refused.iter().any(|r| r.1 == Refused::Forged));
    net.members.push(None);
    net.paused.push(Duration::ZERO);
    net.start_with(5, settings(5));
    net.run(10 * S);
    assert!(net.refused.iter().any(|r| r.1 == Refused::Forged));
    assert!((0..5).all(|n| net.state(n, 5).is_none()));
    net.members[5] = None;
    net.start_with(
        5,
        Settings {
            cluster: "other".to_owned(),
            ..settings(5)
        },
    );
    net.run(10 * S);
    assert!(net.refused.iter().any(|r| r.1 == Refused::Cluster));
}

#[test]
fn a_flood_of_replayed_and_forged_datagrams_changes_nothing() {
    let mut net = Net::new(6, 11);
    // Everything that is sent is kept.
    let mut kept = Vec::new();
    for _ in 0..200 {
        net.run(100 * MS);
        kept.extend(net.air.values().cloned());
    }
    net.members[4] = None;
    net.run(60 * S);
    assert_eq!(net.state(0, 4), Some(State::Dead));
    // The dead member's datagrams come again, and others' with a bit turned, to each.
    let (before, sizes) = (net.changes.len(), net.members[0].as_ref().unwrap().sizes());
    net.refused.clear();
    for (n, (from, to, bytes)) in kept.iter().enumerate() {
        net.carry(*from, *to, bytes.clone());
        let mut forged = bytes.clone();
        let at = n % forged.len();
        forged[at] ^= 1 << (n % 8);
        net.carry(*from, (to + 1) % 6, forged);
    }
    net.run(5 * S);
    assert!(net.refused.iter().any(|r| r.1 == Refused::Replayed));
    assert!(net.refused.iter().any(|r| r.1 == Refused::Forged));
    assert_eq!(net.changes.len(), before, "{:?}", &net.changes[before..]);
    assert_eq!(net.state(0, 4), Some(State::Dead));
    assert_eq!(net.members[0].as_ref().unwrap().sizes().0, sizes.0);
}

#[test]
fn what_is_told_arrives_and_what_is_too_long_does_not() {
    let mut net = Net::new(3, 12);
    net.run(8 * S);
    let teller = net.members[0].as_mut().unwrap();
    teller.tell("m1", 3, b"good".to_vec());
    teller.tell("m1", 3, vec![0; 2000]);
    teller.tell("nobody", 3, b"lost".to_vec());
    net.outputs(0);
    net.run(S);
    assert_eq!(net.told, [(1, b"good".to_vec())]);
}

#[test]
fn a_fleet_of_sixty_one_stays_within_its_bytes() {
    let mut net = Net::new(61, 13);
    net.run(20 * S);
    assert!(net.whole(0..61));
    net.bytes = 0;
    net.run(100 * S);
    let each = net.bytes as f64 / 61.0 / 100.0;
    assert!(each < 1000.0, "{each} bytes a second for each member");
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(24))]

    /// Whatever dies, starts, is cut and lost: once the network is whole again, the fleet is.
    #[test]
    fn any_history_ends_well(
        seed in 0u64..1000,
        steps in proptest::collection::vec((0u8..5, 0usize..7, 0usize..7, 1u64..8), 1..12),
    ) {
        let mut net = Net::new(7, seed);
        net.run(5 * S);
        for (what, a, b, seconds) in steps {
            match what {
                0 => net.members[a] = None,
                1 => net.start(a),
                2 => drop(net.cut.insert((a, b))),
                3 => net.paused[a] = net.now + seconds as u32 * S,
                _ => net.loss = seconds as f64 / 20.0,
            }
            net.run(seconds as u32 * S);
        }
        net.cut.clear();
        net.loss = 0.0;
        (0..7).filter(|n| net.members[*n].is_none()).collect::<Vec<_>>().into_iter().for_each(|n| net.start(n));
        net.run(240 * S);
        proptest::prop_assert!(net.whole(0..7));
    }
}
