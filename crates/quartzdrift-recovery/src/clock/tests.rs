use super::*;

const HOUR: u64 = 3600;

fn sample(wall: u64, boot: &str, since_boot: u64) -> ClockSample {
    ClockSample {
        wall: Duration::from_secs(wall),
        boot_id: boot.to_owned(),
        since_boot: Duration::from_secs(since_boot),
    }
}

#[test]
fn elapsed_time_prefers_the_time_since_boot_to_the_wall_clock() {
    let seconds = Duration::from_secs;
    let before = sample(10 * HOUR, "a", 100);
    for (wall, boot, since_boot, elapsed) in [
        (9 * HOUR, "a", 130, ElapsedTime::Monotonic(seconds(30))),
        (11 * HOUR, "a", 130, ElapsedTime::Monotonic(seconds(30))),
        (11 * HOUR, "b", 20, ElapsedTime::WallClock(seconds(HOUR))),
        (9 * HOUR, "b", 20, ElapsedTime::AtLeast(seconds(20))),
        // The wall clock advanced by less than the machine has been up.
        (10 * HOUR + 5, "b", 20, ElapsedTime::AtLeast(seconds(20))),
        (10 * HOUR + 5, "", 0, ElapsedTime::WallClock(seconds(5))),
    ] {
        let now = sample(wall, boot, since_boot);
        assert_eq!(ElapsedTime::between(&before, &now), elapsed, "{now:?}");
        assert!(
            now.steady_time(&before) >= before.wall,
            "steady time runs backwards: {now:?}"
        );
    }
    let ahead = sample(11 * HOUR, "b", 20);
    let elapsed = ElapsedTime::between(&before, &ahead);
    assert_eq!(
        (elapsed, elapsed.lower_bound(&ahead)),
        (ElapsedTime::WallClock(seconds(HOUR)), seconds(20))
    );
}
