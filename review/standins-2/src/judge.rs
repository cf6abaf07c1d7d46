//! The rules as the operators' pages state them.
use crate::record::Record;
use std::sync::Arc;
use std::time::Duration;

/// A case may run for 120 s.
const LONGEST_RUN: Duration = Duration::from_secs(112);

/// The rule on cold workers (STANDING, `The whole fleet`).
#[derive(Clone, Debug)]
pub struct Budget {
    /// Share of its capacity with which a worker starts (`safety.cold-from`).
    pub from: f64,
    /// Time until it is warm (`safety.cold-ns`).
    pub cold: Duration,
    /// `safety.fall-multiple`.
    pub multiple: f64,
    /// `safety.fall-ns`.
    pub window: Duration,
    /// Requests of mean work that a warm worker does in a second.
    pub warm_rate: f64,
}

impl Budget {
    /// Share of its capacity that a worker of this age has.
    pub fn capacity(&self, age: Duration) -> f64 {
        let warmed = (age.as_secs_f64() / self.cold.as_secs_f64()).min(1.0);
        self.from + (1.0 - self.from) * warmed
    }

    /// Requests that a worker of this age bears in a window: N + 2 x root of N + 2, and N + 3 x root of N + 3
    /// where N is under 30.
    pub fn limit(&self, age: Duration) -> f64 {
        let n = self.multiple * self.capacity(age) * self.warm_rate * self.window.as_secs_f64();
        if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        }
    }
}

/// Ends a run: 1 if a rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: &[String]) -> ! {
    for line in broken {
        record.say(format!("BROKEN {line}"));
    }
    record.say(if broken.is_empty() {
        "the rule held"
    } else {
        "the rule was broken"
    });
    record.write();
    crate::scheduler::kill_all();
    std::process::exit(i32::from(!broken.is_empty()))
}

/// Ends a run that could not take place.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.say(format!("the case could not run: {why}"));
    record.write();
    crate::scheduler::kill_all();
    std::process::exit(2)
}

/// Starts a run: it ends as one that could not take place if it panics or takes longer than a case may.
pub fn start_run() -> Arc<Record> {
    let record = Arc::new(Record::new());
    let (panicked, late) = (record.clone(), record.clone());
    std::panic::set_hook(Box::new(move |panic| cannot_run(&panicked, &panic.to_string())));
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST_RUN);
        cannot_run(&late, "it took too long");
    });
    record
}
