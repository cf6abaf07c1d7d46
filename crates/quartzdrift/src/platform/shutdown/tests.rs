use super::*;

fn shutdown(since: Duration, timeout: Duration) -> Shutdown {
    Shutdown::new(since, [Some(timeout)].into_iter())
}

#[test]
fn each_deadline_of_a_shutdown_wakes_the_loop_once() {
    let since = Duration::from_secs(5);
    let ms = Duration::from_millis(1);
    let draining = shutdown(since, Duration::from_secs(60));
    assert_eq!(draining.next_deadline(since), Some(since + DRAIN_WINDOW));
    assert_eq!(
        draining.next_deadline(since + DRAIN_WINDOW - ms),
        Some(since + DRAIN_WINDOW)
    );
    assert_eq!(
        draining.next_deadline(since + DRAIN_WINDOW),
        Some(draining.answer_by)
    );
    assert_eq!(draining.next_deadline(draining.answer_by), Some(draining.exit_by));
    let close_by = since + DRAIN_WINDOW * 2;
    let closing = Shutdown {
        phase: Phase::Closing { close_by },
        ..draining
    };
    assert_eq!(closing.next_deadline(since + DRAIN_WINDOW), Some(close_by));
    assert_eq!(draining.next_deadline(draining.exit_by), None);
}

#[test]
fn a_shutdown_is_over_before_sigkill_whatever_the_timeouts_are() {
    let since = Duration::from_secs(5);
    for (ms, kill) in [
        (0, 700),
        (1, 701),
        (500, 1200),
        (2000, 2700),
        (3000, 3700),
        (60_000, 3700),
    ] {
        let stop = shutdown(since, Duration::from_millis(ms));
        assert!(stop.drain_until <= stop.answer_by && stop.answer_by < stop.exit_by);
        assert!(stop.exit_by < since + Duration::from_millis(kill), "{ms}");
    }
}

#[test]
fn clients_are_told_once_all_is_answered_and_waited_for_no_longer_than_the_linger() {
    let since = Duration::from_secs(5);
    let mut shutdown = shutdown(since, Duration::from_secs(3));
    let drained = since + DRAIN_WINDOW;
    let unasked = || panic!("asked before newcomers had their time");
    assert_eq!(shutdown.next_step(since, 1, unasked), Step::Wait);
    assert_eq!(shutdown.next_step(drained, 1, || false), Step::Wait);
    assert_eq!(shutdown.next_step(drained, 1, || true), Step::CloseIfQuiet);
    shutdown.begin_closing(drained);
    assert_eq!(shutdown.next_step(drained, 1, || true), Step::Wait);
    assert_eq!(shutdown.next_step(drained, 0, || true), Step::Exit);
    assert_eq!(shutdown.next_step(drained + CLOSE_LINGER, 1, || true), Step::Exit);
    assert_eq!(shutdown.next_step(shutdown.exit_by, 1, || false), Step::Exit);
}
