use super::*;

fn shutdown(since: Duration, timeout: Duration) -> Shutdown {
    Shutdown::new(since, [Some(timeout)].into_iter())
}

#[test]
fn each_deadline_of_a_shutdown_wakes_the_loop_once() {
    let since = Duration::from_secs(5);
    let ms = Duration::from_millis(1);
    let shutdown = shutdown(since, Duration::from_secs(60));
    let drained = since + DRAIN_WINDOW;
    assert_eq!(shutdown.next_deadline(since), Some(drained));
    assert_eq!(shutdown.next_deadline(drained - ms), Some(drained));
    assert_eq!(shutdown.next_deadline(drained), Some(drained + CLOSE_INTERVAL));
    let last = shutdown.answer_by - ms;
    assert_eq!(shutdown.next_deadline(last), Some(shutdown.answer_by));
    assert_eq!(
        shutdown.next_deadline(shutdown.exit_by - ms),
        Some(shutdown.exit_by)
    );
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
fn clients_are_served_while_they_come_and_then_closed_until_the_exit() {
    let since = Duration::from_secs(5);
    for timeout in [0, 50, 300, 1500, 3000, 60_000].map(Duration::from_millis) {
        let shutdown = shutdown(since, timeout);
        let newcomers = since + Duration::from_millis(600);
        assert_eq!(shutdown.next_step(newcomers), Step::Wait, "{timeout:?}");
        assert_eq!(shutdown.next_step(shutdown.drain_until), Step::CloseIdle);
        assert_eq!(shutdown.next_step(shutdown.answer_by), Step::CloseIdle);
        assert_eq!(shutdown.next_step(shutdown.exit_by), Step::Exit);
    }
}
