//! Fleets over a simulated network: the guarantees of the published protocol, and its hard cases.
#![allow(clippy::unwrap_used, reason = "a test may stop at what must not be")]
mod network;

use network::{InFlight, Network, address, settings};
use quartzdrift_membership::{MemberState, RejectReason, Settings};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

#[test]
fn a_fleet_forms_and_all_members_detect_a_dead_one() {
    let mut network = Network::new(17, 1);
    network.run(8 * S);
    assert!(network.is_whole(0..17));
    network.members[5] = None;
    let died = network.now;
    network.run(60 * S);
    assert!(
        (0..17)
            .filter(|n| *n != 5)
            .all(|n| network.state(n, 5) == Some(MemberState::Dead))
    );
    let detection = network.first_seen(5, MemberState::Dead).unwrap() - died;
    assert!(detection > 4 * S && detection < 45 * S, "{detection:?}");
    // Restarted under its name it rejoins at once.
    network.start(5);
    network.run(8 * S);
    assert!(network.is_whole(0..17));
}

#[test]
fn packet_loss_of_a_tenth_or_a_third_causes_hardly_any_false_deaths() {
    for (loss, max_wrong) in [(0.1, 0), (0.3, 4)] {
        let mut wrong = 0;
        for seed in 0..4 {
            let mut network = Network::new(17, seed);
            network.run(5 * S);
            network.loss = loss;
            network.run(100 * S);
            wrong += network
                .changes
                .iter()
                .filter(|change| change.state == MemberState::Dead)
                .count();
            network.loss = 0.0;
            network.run(60 * S);
            assert!(network.is_whole(0..17));
        }
        assert!(wrong <= max_wrong, "{wrong} of 4 times 17 members at {loss}");
    }
}

#[test]
fn a_fleet_recovers_when_half_of_it_restarts_together() {
    let mut network = Network::new(20, 3);
    network.run(8 * S);
    (0..10).for_each(|n| network.members[n] = None);
    network.run(S);
    (0..10).for_each(|n| network.start(n));
    network.run(20 * S);
    assert!(
        network.is_whole(0..20),
        "{:?}",
        network.changes.iter().rev().take(4).collect::<Vec<_>>()
    );
    assert!(!network.was_any_declared_dead());
}

#[test]
fn both_sides_of_a_partition_merge_once_it_heals() {
    let mut network = Network::new(12, 4);
    network.run(8 * S);
    for a in 0..6 {
        (6..12).for_each(|b| {
            network.cut.extend([(a, b), (b, a)]);
        });
    }
    network.run(90 * S);
    assert!(network.is_whole(0..6) && network.is_whole(6..12));
    assert!((0..6).all(|a| (6..12).all(|b| network.state(a, b) == Some(MemberState::Dead))));
    network.cut.clear();
    network.run(90 * S);
    assert!(network.is_whole(0..12));
}

#[test]
fn a_one_way_cut_between_two_members_kills_neither() {
    let mut network = Network::new(10, 5);
    network.run(8 * S);
    network.cut.insert((3, 4));
    network.run(120 * S);
    // The others relay the pair's probes.
    assert!(network.is_whole(0..10) || network.state(4, 3) == Some(MemberState::Suspect));
    assert!(!network.was_any_declared_dead());
}

#[test]
fn a_paused_member_returns_with_stale_gossip_and_accuses_nobody() {
    let mut network = Network::new(12, 6);
    network.run(8 * S);
    network.paused[2] = network.now + 10 * S;
    network.members[7] = None;
    network.run(10 * S);
    let before = network.changes.len();
    network.start(7);
    network.run(40 * S);
    assert!(network.is_whole(0..12));
    // It accuses nobody for its own pause.
    assert!(
        !network.changes[before..]
            .iter()
            .any(|change| change.observer == 2 && change.state == MemberState::Dead && change.name != "m7")
    );
}

#[test]
fn a_fleet_without_seeds_forms_once_one_seed_is_up() {
    let mut network = Network::new(6, 7);
    network.members[0] = None;
    network.members[1] = None;
    network.run(20 * S);
    assert!((2..6).all(|n| network.members[n].as_ref().unwrap().other_members().count() == 0));
    network.start(1);
    network.run(60 * S);
    assert!(network.is_whole(1..6));
}

#[test]
fn a_member_that_leaves_is_not_declared_dead() {
    let mut network = Network::new(8, 8);
    network.run(8 * S);
    let now = network.now;
    network.members[3].as_mut().unwrap().leave(now);
    network.carry_out(3);
    network.run(S);
    network.members[3] = None;
    network.run(30 * S);
    assert!(
        (0..8)
            .filter(|n| *n != 3)
            .all(|n| network.state(n, 3) == Some(MemberState::Left))
    );
    assert!(!network.was_any_declared_dead());
}

#[test]
fn a_second_member_of_the_same_name_is_rejected_and_notified() {
    let mut network = Network::new(6, 9);
    network.run(8 * S);
    network.members.push(None);
    network.paused.push(Duration::ZERO);
    network.start_with(
        6,
        Settings {
            name: "m2".to_owned(),
            address: address(6),
            ..settings(2)
        },
    );
    network.run(30 * S);
    assert!(
        network.name_conflicts.contains(&6),
        "{:?}",
        network.name_conflicts
    );
    assert!(network.is_whole(0..6));
    let second = network.members[0]
        .as_ref()
        .unwrap()
        .other_members()
        .find(|member| *member.name == *"m2")
        .unwrap();
    assert_eq!(second.address, address(2));
    // Once the first is gone the name is free.
    network.members[2] = None;
    network.run(120 * S);
    let second = network.members[0]
        .as_ref()
        .unwrap()
        .other_members()
        .find(|member| *member.name == *"m2")
        .unwrap();
    assert_eq!((second.address, second.state), (address(6), MemberState::Alive));
}

/// Restarts the five members of a fleet one after the other.
fn restart_with_keys(network: &mut Network, keys: &[Vec<u8>]) {
    for member in 0..5 {
        network.members[member] = None;
        let settings = Settings {
            keys: keys.to_vec(),
            ..settings(member)
        };
        network.start_with(member, settings);
        network.run(3 * S);
    }
}

#[test]
fn keys_rotate_without_losing_members_and_keep_strangers_out() {
    let mut network = Network::new(5, 10);
    network.run(8 * S);
    let keys = |keys: &[&[u8]]| keys.iter().map(|key| key.to_vec()).collect::<Vec<_>>();
    // A rolling restart for each step: the new key as second, then as first, then alone.
    for keys in [
        keys(&[b"first", b"new"]),
        keys(&[b"new", b"first"]),
        keys(&[b"new"]),
    ] {
        restart_with_keys(&mut network, &keys);
        network.run(20 * S);
        assert!(network.is_whole(0..5), "{keys:?}");
    }
    assert!(
        !network
            .rejected
            .iter()
            .any(|(_, reason)| *reason == RejectReason::InvalidTag)
    );
    network.members.push(None);
    network.paused.push(Duration::ZERO);
    network.start_with(5, settings(5));
    network.run(10 * S);
    assert!(
        network
            .rejected
            .iter()
            .any(|(_, reason)| *reason == RejectReason::InvalidTag)
    );
    assert!((0..5).all(|n| network.state(n, 5).is_none()));
    network.members[5] = None;
    network.start_with(
        5,
        Settings {
            cluster: "other".to_owned(),
            ..settings(5)
        },
    );
    network.run(10 * S);
    assert!(
        network
            .rejected
            .iter()
            .any(|(_, reason)| *reason == RejectReason::OtherCluster)
    );
}

#[test]
fn a_flood_of_replayed_and_forged_datagrams_changes_nothing() {
    let mut network = Network::new(6, 11);
    let mut recorded = Vec::new();
    for _ in 0..200 {
        network.run(100 * MS);
        recorded.extend(network.in_flight.values().cloned());
    }
    network.members[4] = None;
    network.run(60 * S);
    assert_eq!(network.state(0, 4), Some(MemberState::Dead));
    // All datagrams are replayed, the dead member's among them, and sent once more with a flipped bit to another member.
    let before = network.changes.len();
    let usage = network.members[0].as_ref().unwrap().entry_counts();
    network.rejected.clear();
    for (index, datagram) in recorded.into_iter().enumerate() {
        let InFlight { from, to, bytes } = datagram;
        network.deliver(from, to, bytes.clone());
        let mut forged = bytes;
        let position = index % forged.len();
        forged[position] ^= 1 << (index % 8);
        network.deliver(from, (to + 1) % 6, forged);
    }
    network.run(5 * S);
    assert!(
        network
            .rejected
            .iter()
            .any(|(_, reason)| *reason == RejectReason::Replayed)
    );
    assert!(
        network
            .rejected
            .iter()
            .any(|(_, reason)| *reason == RejectReason::InvalidTag)
    );
    assert_eq!(network.changes.len(), before, "{:?}", &network.changes[before..]);
    assert_eq!(network.state(0, 4), Some(MemberState::Dead));
    assert_eq!(
        network.members[0].as_ref().unwrap().entry_counts().members,
        usage.members
    );
}

#[test]
fn messages_arrive_unless_they_are_too_long() {
    let mut network = Network::new(3, 12);
    network.run(8 * S);
    let sender = network.members[0].as_mut().unwrap();
    sender.send_message("m1", 3, b"good".to_vec());
    sender.send_message("m1", 3, vec![0; 2000]);
    sender.send_message("nobody", 3, b"lost".to_vec());
    network.carry_out(0);
    network.run(S);
    assert_eq!(network.messages, [(1, b"good".to_vec())]);
}

#[test]
fn a_fleet_of_sixty_one_stays_within_its_bandwidth() {
    let mut network = Network::new(61, 13);
    network.run(20 * S);
    assert!(network.is_whole(0..61));
    network.bytes = 0;
    network.run(100 * S);
    let each = network.bytes as f64 / 61.0 / 100.0;
    assert!(each < 1000.0, "{each} bytes a second for each member");
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(24))]

    /// Whatever members die, start or are cut off: once the network is whole again, the fleet is.
    #[test]
    fn a_fleet_recovers_from_any_history_of_faults(
        seed in 0u64..1000,
        steps in proptest::collection::vec((0u8..5, 0usize..7, 0usize..7, 1u64..8), 1..12),
    ) {
        let mut network = Network::new(7, seed);
        network.run(5 * S);
        for (what, a, b, seconds) in steps {
            match what {
                0 => network.members[a] = None,
                1 => network.start(a),
                2 => drop(network.cut.insert((a, b))),
                3 => network.paused[a] = network.now + seconds as u32 * S,
                _ => network.loss = seconds as f64 / 20.0,
            }
            network.run(seconds as u32 * S);
        }
        network.cut.clear();
        network.loss = 0.0;
        (0..7).filter(|n| network.members[*n].is_none()).collect::<Vec<_>>().into_iter().for_each(|n| network.start(n));
        network.run(240 * S);
        proptest::prop_assert!(network.is_whole(0..7));
    }
}
