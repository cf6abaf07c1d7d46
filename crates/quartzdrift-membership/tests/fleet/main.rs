//! Fleets on a simulated network: failure detection, partitions, pauses, name conflicts, key rotation,
//! replayed datagrams and bandwidth.
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]
mod network;

use network::{InFlight, Network, address, settings};
use quartzdrift_membership::{MemberState, RejectReason, Settings};
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_fleet_forms_and_all_members_detect_a_dead_one() {
    let mut network = Network::new(17, 1);
    network.run(8 * SECOND);
    assert!(network.are_all_alive(0..17));
    network.members[5] = None;
    let died = network.now;
    network.run(60 * SECOND);
    assert!(
        (0..17)
            .filter(|n| *n != 5)
            .all(|n| network.state(n, 5) == Some(MemberState::Dead))
    );
    let detection = network.first_observed(5, MemberState::Dead).unwrap() - died;
    assert!(detection > 4 * SECOND && detection < 45 * SECOND, "{detection:?}");
    // A restarted member with the same name rejoins at once.
    network.start(5);
    network.run(8 * SECOND);
    assert!(network.are_all_alive(0..17));
}

#[test]
fn packet_loss_of_10_or_30_percent_causes_few_false_dead_declarations() {
    for (loss_rate, max_false_dead) in [(0.1, 0), (0.3, 4)] {
        let mut false_dead = 0;
        for seed in 0..4 {
            let mut network = Network::new(17, seed);
            network.run(5 * SECOND);
            network.loss_rate = loss_rate;
            network.run(100 * SECOND);
            false_dead += network
                .changes
                .iter()
                .filter(|change| change.state == MemberState::Dead)
                .count();
            network.loss_rate = 0.0;
            network.run(60 * SECOND);
            assert!(network.are_all_alive(0..17));
        }
        assert!(
            false_dead <= max_false_dead,
            "{false_dead} false declarations of death in 4 fleets of 17 members at a loss rate of {loss_rate}"
        );
    }
}

#[test]
fn a_fleet_recovers_when_half_of_it_restarts_together() {
    let mut network = Network::new(20, 3);
    network.run(8 * SECOND);
    (0..10).for_each(|n| network.members[n] = None);
    network.run(SECOND);
    (0..10).for_each(|n| network.start(n));
    network.run(20 * SECOND);
    assert!(
        network.are_all_alive(0..20),
        "{:?}",
        network.changes.iter().rev().take(4).collect::<Vec<_>>()
    );
    assert!(!network.was_any_declared_dead());
}

#[test]
fn both_sides_of_a_partition_merge_once_it_heals() {
    let mut network = Network::new(12, 4);
    network.run(8 * SECOND);
    for a in 0..6 {
        (6..12).for_each(|b| {
            network.blocked_links.extend([(a, b), (b, a)]);
        });
    }
    network.run(90 * SECOND);
    assert!(network.are_all_alive(0..6) && network.are_all_alive(6..12));
    assert!((0..6).all(|a| (6..12).all(|b| network.state(a, b) == Some(MemberState::Dead))));
    network.blocked_links.clear();
    network.run(90 * SECOND);
    assert!(network.are_all_alive(0..12));
}

#[test]
fn a_one_way_link_failure_between_two_members_declares_neither_dead() {
    let mut network = Network::new(10, 5);
    network.run(8 * SECOND);
    network.blocked_links.insert((3, 4));
    network.run(120 * SECOND);
    // The other members relay the probes between the two.
    assert!(network.are_all_alive(0..10) || network.state(4, 3) == Some(MemberState::Suspect));
    assert!(!network.was_any_declared_dead());
}

#[test]
fn a_resumed_member_declares_no_member_dead_because_of_its_own_pause() {
    let mut network = Network::new(12, 6);
    network.run(8 * SECOND);
    network.paused_until[2] = network.now + 10 * SECOND;
    network.members[7] = None;
    network.run(10 * SECOND);
    let changes_before = network.changes.len();
    network.start(7);
    network.run(40 * SECOND);
    assert!(network.are_all_alive(0..12));
    // The resumed member may declare only m7 dead, which was stopped.
    assert!(
        !network.changes[changes_before..]
            .iter()
            .any(|change| change.observer == 2 && change.state == MemberState::Dead && change.name != "m7")
    );
}

#[test]
fn a_fleet_without_seeds_forms_once_one_seed_is_up() {
    let mut network = Network::new(6, 7);
    network.members[0] = None;
    network.members[1] = None;
    network.run(20 * SECOND);
    assert!((2..6).all(|n| network.members[n].as_ref().unwrap().other_members().count() == 0));
    network.start(1);
    network.run(60 * SECOND);
    assert!(network.are_all_alive(1..6));
}

#[test]
fn a_member_that_leaves_is_not_declared_dead() {
    let mut network = Network::new(8, 8);
    network.run(8 * SECOND);
    let now = network.now;
    network.members[3].as_mut().unwrap().leave(now);
    network.carry_out(3);
    network.run(SECOND);
    network.members[3] = None;
    network.run(30 * SECOND);
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
    network.run(8 * SECOND);
    network.members.push(None);
    network.paused_until.push(Duration::ZERO);
    network.start_with(
        6,
        Settings {
            name: "m2".to_owned(),
            address: address(6),
            ..settings(2)
        },
    );
    network.run(30 * SECOND);
    assert!(
        network.name_conflicts.contains(&6),
        "{:?}",
        network.name_conflicts
    );
    assert!(network.are_all_alive(0..6));
    let second = network.members[0]
        .as_ref()
        .unwrap()
        .other_members()
        .find(|member| *member.name == *"m2")
        .unwrap();
    assert_eq!(second.address, address(2));
    // The name becomes free once the first member with it is dead.
    network.members[2] = None;
    network.run(120 * SECOND);
    let second = network.members[0]
        .as_ref()
        .unwrap()
        .other_members()
        .find(|member| *member.name == *"m2")
        .unwrap();
    assert_eq!((second.address, second.state), (address(6), MemberState::Alive));
}

/// Restarts the five members of a fleet one after the other, each with these keys.
fn restart_with_keys(network: &mut Network, keys: &[Vec<u8>]) {
    for member in 0..5 {
        network.members[member] = None;
        let settings = Settings {
            keys: keys.to_vec(),
            ..settings(member)
        };
        network.start_with(member, settings);
        network.run(3 * SECOND);
    }
}

#[test]
fn keys_rotate_without_losing_members_and_other_keys_and_clusters_are_rejected() {
    let mut network = Network::new(5, 10);
    network.run(8 * SECOND);
    let keys = |keys: &[&[u8]]| keys.iter().map(|key| key.to_vec()).collect::<Vec<_>>();
    // Each step is a rolling restart: with the new key as second, then as first, then as the only key.
    for keys in [
        keys(&[b"first", b"new"]),
        keys(&[b"new", b"first"]),
        keys(&[b"new"]),
    ] {
        restart_with_keys(&mut network, &keys);
        network.run(20 * SECOND);
        assert!(network.are_all_alive(0..5), "{keys:?}");
    }
    assert!(
        !network
            .rejections
            .iter()
            .any(|(_, reason)| *reason == RejectReason::InvalidTag)
    );
    network.members.push(None);
    network.paused_until.push(Duration::ZERO);
    network.start_with(5, settings(5));
    network.run(10 * SECOND);
    assert!(
        network
            .rejections
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
    network.run(10 * SECOND);
    assert!(
        network
            .rejections
            .iter()
            .any(|(_, reason)| *reason == RejectReason::OtherCluster)
    );
}

#[test]
fn a_flood_of_replayed_and_forged_datagrams_changes_nothing() {
    let mut network = Network::new(6, 11);
    let mut recorded = Vec::new();
    for _ in 0..200 {
        network.run(100 * MILLISECOND);
        recorded.extend(network.in_flight.values().cloned());
    }
    network.members[4] = None;
    network.run(60 * SECOND);
    assert_eq!(network.state(0, 4), Some(MemberState::Dead));
    // Replays every recorded datagram, including those of the dead member, and sends a copy with one flipped
    // bit to another member.
    let changes_before = network.changes.len();
    let counts_before = network.members[0].as_ref().unwrap().entry_counts();
    network.rejections.clear();
    for (index, datagram) in recorded.into_iter().enumerate() {
        let InFlight { from, to, bytes } = datagram;
        network.send_datagram(from, to, bytes.clone());
        let mut forged = bytes;
        let position = index % forged.len();
        forged[position] ^= 1 << (index % 8);
        network.send_datagram(from, (to + 1) % 6, forged);
    }
    network.run(5 * SECOND);
    assert!(
        network
            .rejections
            .iter()
            .any(|(_, reason)| *reason == RejectReason::Replayed)
    );
    assert!(
        network
            .rejections
            .iter()
            .any(|(_, reason)| *reason == RejectReason::InvalidTag)
    );
    assert_eq!(
        network.changes.len(),
        changes_before,
        "{:?}",
        &network.changes[changes_before..]
    );
    assert_eq!(network.state(0, 4), Some(MemberState::Dead));
    assert_eq!(
        network.members[0].as_ref().unwrap().entry_counts().members,
        counts_before.members
    );
}

#[test]
fn messages_arrive_unless_they_are_too_long() {
    let mut network = Network::new(3, 12);
    network.run(8 * SECOND);
    let sender = network.members[0].as_mut().unwrap();
    sender.send_message("m1", 3, b"good".to_vec());
    sender.send_message("m1", 3, vec![0; 2000]);
    sender.send_message("nobody", 3, b"lost".to_vec());
    network.carry_out(0);
    network.run(SECOND);
    assert_eq!(network.messages, [(1, b"good".to_vec())]);
}

#[test]
fn each_member_of_a_fleet_of_61_sends_less_than_1000_bytes_per_second() {
    let mut network = Network::new(61, 13);
    network.run(20 * SECOND);
    assert!(network.are_all_alive(0..61));
    network.sent_bytes = 0;
    network.run(100 * SECOND);
    let bytes_per_second = network.sent_bytes as f64 / 61.0 / 100.0;
    assert!(
        bytes_per_second < 1000.0,
        "each member sent {bytes_per_second} bytes per second on average"
    );
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(24))]

    /// After any sequence of stops, starts, blocked links, pauses and packet loss, all members see each other
    /// alive again once the faults have ended.
    #[test]
    fn a_fleet_recovers_from_any_sequence_of_faults(
        seed in 0u64..1000,
        steps in proptest::collection::vec((0u8..5, 0usize..7, 0usize..7, 1u64..8), 1..12),
    ) {
        let mut network = Network::new(7, seed);
        network.run(5 * SECOND);
        for (fault, member, peer, seconds) in steps {
            match fault {
                0 => network.members[member] = None,
                1 => network.start(member),
                2 => drop(network.blocked_links.insert((member, peer))),
                3 => network.paused_until[member] = network.now + seconds as u32 * SECOND,
                _ => network.loss_rate = seconds as f64 / 20.0,
            }
            network.run(seconds as u32 * SECOND);
        }
        network.blocked_links.clear();
        network.loss_rate = 0.0;
        for member in 0..7 {
            if network.members[member].is_none() {
                network.start(member);
            }
        }
        network.run(240 * SECOND);
        proptest::prop_assert!(network.are_all_alive(0..7));
    }
}
