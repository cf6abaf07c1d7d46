use super::*;
use crate::cache_gossip::{FANOUT, SEND_INTERVAL};

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

#[test]
fn a_function_is_loaded_by_one_call_and_admitted_once_it_is_cached() {
    let mut ramp = AdmissionRamp::new(S, 1);
    assert_eq!(ramp.admit(S, 1), Ok(Admission::Load));
    let retry_after = ramp.admit(S, 1).unwrap_err();
    assert!(
        retry_after > Duration::ZERO && retry_after <= DEFAULT_LOAD_DURATION,
        "{retry_after:?}"
    );
    assert_eq!(ramp.admit(S, 2), Ok(Admission::Load));
    assert!(
        ramp.admit(S, 3).is_err(),
        "the initial limit is two loads in flight"
    );
    ramp.load_finished(S + 300 * MS, 1, LoadResult::Cached);
    assert_eq!(
        (ramp.admit(S * 2, 1), ramp.admit(S * 2, 1)),
        (Ok(Admission::Unlimited), Ok(Admission::Unlimited))
    );
    // A function is loaded again after an inconclusive load, and after a load without a result has timed out.
    ramp.load_finished(S * 2, 2, LoadResult::Inconclusive);
    assert_eq!(ramp.admit(S * 2, 2), Ok(Admission::Load));
    assert!(ramp.admit(S * 4, 2).is_err());
    assert_eq!(ramp.admit(S * 2 + LOAD_TIMEOUT, 2), Ok(Admission::Load));
}

#[test]
fn the_limit_grows_with_quick_loads_and_halves_once_for_loads_rejected_together() {
    let mut ramp = AdmissionRamp::new(S, 1);
    let mut now = S;
    let mut function = 0;
    let mut begin_loads = |ramp: &mut AdmissionRamp, now| {
        let first = function + 1;
        while ramp.admit(now, function + 1) == Ok(Admission::Load) {
            function += 1;
        }
        first..=function
    };
    for limit in [2, 4, 8] {
        let loads = begin_loads(&mut ramp, now);
        assert_eq!(loads.clone().count(), limit);
        now += 300 * MS;
        loads.for_each(|load| ramp.load_finished(now, load, LoadResult::Cached));
    }
    let loads = begin_loads(&mut ramp, now);
    now += 300 * MS;
    for load in loads {
        ramp.load_finished(now, load, LoadResult::Rejected);
    }
    assert!(
        begin_loads(&mut ramp, now).is_empty(),
        "a load began within the average duration of a load after the halving"
    );
    now += S;
    assert_eq!(begin_loads(&mut ramp, now).count(), 8);
    // Loads that take more than twice the quickest do not raise the limit.
    let mut slow = AdmissionRamp::new(S, 1);
    for (at, duration) in [(1, 300), (2, 990), (3, 990)] {
        slow.admit(S * at, at).unwrap();
        slow.load_finished(S * at + duration * MS, at, LoadResult::Cached);
    }
    assert_eq!(slow.limit, 3.0, "only the one quick load raises the limit");
    // With a limit below one there are pauses between loads.
    (0..20u32).for_each(|second| slow.decrease_limit(S * (10 + second)));
    assert_eq!(
        (slow.limit, slow.admit(S * 60, 9)),
        (MIN_LIMIT, Ok(Admission::Load))
    );
    slow.load_finished(S * 61, 9, LoadResult::Inconclusive);
    assert!(slow.admit(S * 62, 10).is_err());
}

#[test]
fn gossip_reaches_nearly_all_members_and_ends() {
    for (members, loss_rate) in [(2usize, 0.0), (17, 0.0), (17, 0.3), (200, 0.1)] {
        let names: Vec<String> = (0..members).map(|n| format!("{n:03}")).collect();
        let mut ramps: Vec<AdmissionRamp> = (0..members)
            .map(|member| AdmissionRamp::new(S, member as u64))
            .collect();
        assert_eq!(ramps[0].admit(S, 7), Ok(Admission::Load));
        ramps[0].load_finished(S, 7, LoadResult::Cached);
        let mut now = S;
        let mut sent = 0;
        let mut draws = 0u64;
        while ramps.iter().any(|ramp| ramp.next_due().is_some()) {
            for member in 0..members {
                let others: Vec<&String> = names.iter().filter(|name| **name != names[member]).collect();
                let Some(message) = ramps[member].next_message(now, &others) else {
                    continue;
                };
                for name in message.recipients {
                    draws += 1;
                    let mut hasher = DefaultHasher::new();
                    draws.hash(&mut hasher);
                    sent += 1;
                    if hasher.finish() as f64 / u64::MAX as f64 >= loss_rate {
                        ramps[name.parse::<usize>().unwrap()].apply_updates(now, &message.updates);
                    }
                }
            }
            now += SEND_INTERVAL;
            assert!(now < S * 3, "gossip does not end within two seconds");
        }
        let informed = ramps
            .iter_mut()
            .filter_map(|ramp| (ramp.admit(now, 7) == Ok(Admission::Unlimited)).then_some(()))
            .count();
        assert!(
            informed * 10 >= members * 9,
            "{informed} of {members} members learned that the function is cached"
        );
        assert!(
            sent <= members * FANOUT * (members.ilog2() as usize + 2),
            "{sent} datagrams were sent"
        );
    }
}
