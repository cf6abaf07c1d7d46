use super::History;
use crate::predictor::Predictor;
use crate::season::Season;
use std::time::Duration;

fn history(gaps: impl Iterator<Item = f64>) -> History {
    let mut history = History::default();
    let mut at = 1_000_000.0;
    history.record_use(Duration::from_secs_f64(at), Duration::ZERO);
    for gap in gaps {
        at += gap;
        history.record_use(Duration::from_secs_f64(at), Duration::ZERO);
    }
    history
}

/// Exponentially distributed gaps from a random generator with a fixed seed, in seconds.
fn exponential_gaps(mean: f64) -> impl Iterator<Item = f64> {
    let mut state = 12345u64;
    std::iter::repeat_with(move || {
        state = state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        -(1.0 - (state >> 11) as f64 / (1u64 << 53) as f64).ln() * mean
    })
}

#[test]
fn regular_gaps_are_distinguished_from_random_ones() {
    assert_eq!(
        history(std::iter::repeat_n(30.0, 20)).best_predictor().unwrap().0,
        Predictor::Regular
    );
    let (best, _) = history(exponential_gaps(30.0).take(200))
        .best_predictor()
        .unwrap();
    assert!(matches!(best, Predictor::Steady | Predictor::Trend), "{best:?}");
}

#[test]
fn a_change_from_regular_gaps_to_bursts_changes_the_predictor() {
    let gaps = std::iter::repeat_n(30.0, 30).chain(exponential_gaps(0.4).take(40));
    let history = history(gaps);
    assert_ne!(history.best_predictor().unwrap().0, Predictor::Regular);
    assert!(history.use_rate(Predictor::Trend, Duration::ZERO).unwrap() > 0.5);
}

#[test]
fn a_daily_peak_is_expected_again_the_next_day() {
    let day = Duration::from_secs(960);
    let mut history = History {
        seasons: vec![Season::new(day)],
        ..History::default()
    };
    for round in 0..6u32 {
        for n in 0..40u32 {
            history.record_use(
                day * (1000 + round) + Duration::from_secs(100) + Duration::from_millis(500) * n,
                Duration::ZERO,
            );
        }
    }
    // From the end of the sixth peak on: few uses are expected before the seventh peak, many within it.
    let uses_until = |gap| {
        history.seasons[0]
            .expected_uses(history.last_use + 1.0, history.last_use + gap)
            .unwrap()
    };
    let quiet = uses_until(900.0);
    let peak = uses_until(965.0);
    assert!(quiet < 0.1 && peak > 10.0, "{quiet} {peak}");
    assert!(history.probability_within(Predictor::Day, 965.0).unwrap() > 0.99);
}

#[test]
fn the_true_distribution_scores_best() {
    let history = history(exponential_gaps(20.0).take(400));
    let score = |predictor| {
        exponential_gaps(20.0)
            .skip(1000)
            .take(400)
            .map(|gap| history.score(predictor, gap))
            .sum::<f64>()
    };
    assert!(score(Predictor::Steady) < score(Predictor::Regular) * 1.2);
    assert!(
        score(Predictor::Steady) < score(Predictor::Day),
        "a predictor without a prediction scores worse"
    );
}
