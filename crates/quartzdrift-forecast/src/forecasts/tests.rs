use super::{ForecastSettings, Forecasts};
use crate::predictor::Predictor;
use std::time::Duration;

fn forecasts(max_functions: usize) -> Forecasts {
    Forecasts::new(ForecastSettings {
        max_functions,
        ..ForecastSettings::default()
    })
}

const START: Duration = Duration::from_secs(1_000_000);

#[test]
fn a_regular_use_is_expected_in_time_to_load_and_not_permanently() {
    let mut all = forecasts(10);
    for n in 0..10u32 {
        all.record_use(START + Duration::from_secs(60) * n, "t");
    }
    let last = START + Duration::from_secs(540);
    let mut expected = Vec::new();
    while let Some(at) = all.next_due().filter(|at| *at < last + Duration::from_secs(60)) {
        expected.extend(all.due(at).into_iter().map(|e| (at - last, e)));
    }
    assert!(!expected.is_empty() && expected.len() <= 3, "{expected:?}");
    let (at, first) = &expected[0];
    assert!(
        *at > Duration::from_secs(45) && *at <= Duration::from_millis(58_500),
        "{at:?}"
    );
    assert!(expected.iter().any(|(_, e)| e.probability > 0.8), "{expected:?}");
    assert_eq!(
        (first.function.as_str(), first.predictor),
        ("t", Predictor::Regular)
    );
    // For regular gaps "as long as the last gap" is nearly right, and "a use is always near" is not.
    let scores = all.scores;
    assert!(
        scores.scored_gaps > 4 && scores.chosen < 0.1 * scores.always_near_baseline,
        "{scores:?}"
    );
    assert!(
        scores.last_gap_baseline < scores.always_near_baseline,
        "{scores:?}"
    );
}

#[test]
fn a_scan_of_functions_used_once_displaces_none_that_is_in_use() {
    let mut all = forecasts(40);
    for n in 0..5 {
        (0..20).for_each(|f| all.record_use(START + Duration::from_secs(n), &format!("f{f}")));
    }
    (0..1000).for_each(|n| all.record_use(START + Duration::from_secs(10 + n), &format!("scan{n}")));
    assert!((0..20).all(|f| all.tracks.contains_key(&format!("f{f}"))));
    assert!(all.len() <= 40 && all.planned.len() <= 40);
}

#[test]
fn a_quiet_function_is_not_forecast() {
    let mut all = forecasts(10);
    for n in 0..10u32 {
        all.record_use(START + Duration::from_secs(60) * n, "t");
    }
    all.start_quiet_period("t", START + Duration::from_secs(3600));
    while let Some(at) = all
        .next_due()
        .filter(|at| *at < START + Duration::from_secs(3000))
    {
        assert_eq!(all.due(at), []);
    }
}

proptest::proptest! {
    /// With any uses, clock steps included: bounds hold, probabilities lie from 0 to 1, and the forecasts end.
    #[test]
    fn bounds_hold_with_any_uses(uses in proptest::collection::vec((0u64..100_000, 0u8..30), 1..200)) {
        let mut all = forecasts(8);
        for (ms, function) in uses {
            let now = START + Duration::from_millis(ms);
            all.record_use(now, &format!("f{function}"));
            let mut turns = 0;
            while let Some(at) = all.next_due().filter(|at| *at < now + Duration::from_secs(20)) {
                for use_expected in all.due(at) {
                    proptest::prop_assert!((0.0..=1.0).contains(&use_expected.probability));
                }
                turns += 1;
                proptest::prop_assert!(turns < 2000, "it never ends");
            }
            proptest::prop_assert!(all.len() <= 8 && all.planned.len() <= 8);
        }
    }
}
