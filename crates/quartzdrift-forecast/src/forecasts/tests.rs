use super::{ForecastSettings, Forecasts};
use crate::predictor::Predictor;
use std::time::Duration;

fn empty_forecasts(max_functions: usize) -> Forecasts {
    Forecasts::new(ForecastSettings {
        max_functions,
        ..ForecastSettings::default()
    })
}

const START: Duration = Duration::from_secs(1_000_000);

#[test]
fn a_regular_use_is_forecast_before_its_load_has_to_start_and_not_all_the_time() {
    let mut forecasts = empty_forecasts(10);
    for n in 0..10u32 {
        forecasts.record_use(START + Duration::from_secs(60) * n, "t");
    }
    let last = START + Duration::from_secs(540);
    let mut expected = Vec::new();
    while let Some(at) = forecasts
        .next_due()
        .filter(|at| *at < last + Duration::from_secs(60))
    {
        expected.extend(
            forecasts
                .due(at)
                .into_iter()
                .map(|expected_use| (at - last, expected_use)),
        );
    }
    assert!(!expected.is_empty() && expected.len() <= 3, "{expected:?}");
    let (at, first) = &expected[0];
    assert!(
        *at > Duration::from_secs(45) && *at <= Duration::from_millis(58_500),
        "{at:?}"
    );
    assert!(
        expected
            .iter()
            .any(|(_, expected_use)| expected_use.probability > 0.8),
        "{expected:?}"
    );
    assert_eq!(
        (first.function.as_str(), first.predictor),
        ("t", Predictor::Regular)
    );
    // For regular gaps the baseline of the last gap is nearly right; the baseline of an immediate use is
    // wrong.
    let scores = forecasts.scores;
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
fn a_scan_of_functions_used_once_evicts_no_function_in_use() {
    let mut forecasts = empty_forecasts(40);
    for n in 0..5 {
        (0..20).for_each(|f| forecasts.record_use(START + Duration::from_secs(n), &format!("f{f}")));
    }
    (0..1000).for_each(|n| forecasts.record_use(START + Duration::from_secs(10 + n), &format!("scan{n}")));
    assert!((0..20).all(|f| forecasts.functions.contains_key(&format!("f{f}"))));
    assert!(forecasts.len() <= 40 && forecasts.planned_forecasts.len() <= 40);
}

#[test]
fn no_forecast_is_made_in_a_quiet_period() {
    let mut forecasts = empty_forecasts(10);
    for n in 0..10u32 {
        forecasts.record_use(START + Duration::from_secs(60) * n, "t");
    }
    forecasts.start_quiet_period("t", START + Duration::from_secs(3600));
    while let Some(at) = forecasts
        .next_due()
        .filter(|at| *at < START + Duration::from_secs(3000))
    {
        assert_eq!(forecasts.due(at), []);
    }
}

proptest::proptest! {
    /// With random uses, also at times that go back: the bounds hold, probabilities lie from 0 to 1, and the
    /// number of forecasts is finite.
    #[test]
    fn bounds_hold_with_random_uses(uses in proptest::collection::vec((0u64..100_000, 0u8..30), 1..200)) {
        let mut forecasts = empty_forecasts(8);
        for (ms, function) in uses {
            let now = START + Duration::from_millis(ms);
            forecasts.record_use(now, &format!("f{function}"));
            let mut turns = 0;
            while let Some(at) = forecasts.next_due().filter(|at| *at < now + Duration::from_secs(20)) {
                for expected in forecasts.due(at) {
                    proptest::prop_assert!((0.0..=1.0).contains(&expected.probability));
                }
                turns += 1;
                proptest::prop_assert!(turns < 2000, "forecasts do not end: turn {turns}, limit 2000");
            }
            proptest::prop_assert!(forecasts.len() <= 8 && forecasts.planned_forecasts.len() <= 8);
        }
    }
}
