use super::*;

fn shutdown(start: Duration, timeout: Duration) -> Shutdown {
    Shutdown::new(start, [Some(timeout)].into_iter())
}

#[test]
fn the_loop_wakes_for_each_deadline_of_a_shutdown() {
    let start = Duration::from_secs(5);
    let ms = Duration::from_millis(1);
    let shutdown = shutdown(start, Duration::from_secs(60));
    let drained = start + DRAIN_WINDOW;
    assert_eq!(shutdown.next_deadline(start), Some(drained));
    assert_eq!(shutdown.next_deadline(drained - ms), Some(drained));
    assert_eq!(shutdown.next_deadline(drained), Some(drained + CLOSE_INTERVAL));
    let before_answer_by = shutdown.answer_by - ms;
    assert_eq!(shutdown.next_deadline(before_answer_by), Some(shutdown.answer_by));
    assert_eq!(
        shutdown.next_deadline(shutdown.exit_by - ms),
        Some(shutdown.exit_by)
    );
}

#[test]
fn a_shutdown_ends_before_sigkill_with_any_request_class_timeout() {
    let start = Duration::from_secs(5);
    for (timeout_ms, kill_ms) in [
        (0, 700),
        (1, 701),
        (500, 1200),
        (2000, 2700),
        (3000, 3700),
        (60_000, 3700),
    ] {
        let shutdown = shutdown(start, Duration::from_millis(timeout_ms));
        assert!(shutdown.drain_until <= shutdown.answer_by && shutdown.answer_by < shutdown.exit_by);
        assert!(
            shutdown.exit_by < start + Duration::from_millis(kill_ms),
            "{timeout_ms}"
        );
    }
}

#[test]
fn clients_are_served_while_new_ones_may_connect_and_then_closed_until_the_exit() {
    let start = Duration::from_secs(5);
    for timeout in [0, 50, 300, 1500, 3000, 60_000].map(Duration::from_millis) {
        let shutdown = shutdown(start, timeout);
        let last_connection_at = start + Duration::from_millis(600);
        assert_eq!(
            shutdown.next_step(last_connection_at),
            ShutdownStep::Wait,
            "{timeout:?}"
        );
        assert_eq!(shutdown.next_step(shutdown.drain_until), ShutdownStep::CloseIdle);
        assert_eq!(shutdown.next_step(shutdown.answer_by), ShutdownStep::CloseIdle);
        assert_eq!(shutdown.next_step(shutdown.exit_by), ShutdownStep::Exit);
    }
}
