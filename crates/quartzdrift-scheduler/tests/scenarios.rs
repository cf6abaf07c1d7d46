//! Plays every file in `scenarios/`. A line is a setting, an event or an expectation; `#` begins a remark.
//!
//!     set effect run-once        effect, group, window, executions, schedulers, workloads, importance,
//!                                customers, keep, fall (`-`: untold), told, cancel, report held, discovery
//!                                ask, target (start target), ask-within, retry-after (push-backs must then
//!                                name a time within it)
//!     set lease 2s 500ms         how long the list holds once discovery is silent, and the drain grace
//!     confirmed 90ms             the list was current then, or now; `disconnected a`: a ended a connection
//!     at 100ms                   time of what follows
//!     list full a b:draining c^2s d@1*2  form, then workers: state, start, zone, kind of machine
//!     set memory 1000            of a worker, in MB
//!     job 7 f left=1s            a job of function f; `workload=`, `customer=` and `mb=` may follow
//!     jobs 10 40 f g workload=1  jobs 10 to 39, of the functions in turn; with `every=` one after the
//!                                other, each finished at once, in 300 ms on the kind named by `slow=`
//!     end 7 finished warm        how its execution ended; `over`, `open` (it is not), `unloadable` (its load failed),
//!                                `took=`, `held=` may follow
//!     end-all finished           the same for every execution that is out
//!     tick, expire 7             the module's timer; the client left
//!     sent 7 to a                expected among the actions since: also `not a`, or neither
//!     set orders free=2 share=0 window=5s fetch=0.1 memory=1   load orders, their ration and prices
//!     expect f sure=0.9 within=8s mb=100     a forecast; then `ordered f`, `loaded f` (or error, full),
//!                                and `sent-there 7`: to the worker where it was loaded
//!     replace 10000 30 every=1s  a list of 30 workers, of which one is replaced every second, 10000 times
//!     places-most workers 630    kept, of workers, functions or jobs; also places-least
//!     pushed-back 7, killed 7, cancelled 7, watched, quiet, sent-most a 5, sent-least a 5,
//!     loads-most 4               pairs of a function and a worker that was sent it, since `recount`; also loads-least
//!     schedulers 40              so many from now on
//!     restart knowing            a new start that is told what the old one had measured; `restart`: it is not; what
//!                                was sent counts anew
//!     forget                     drops the actions since
mod scenario_runner;

use scenario_runner::{Runner, Words};

#[test]
fn all_scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path()).collect();
    files.sort();
    assert!(!files.is_empty(), "no scenario in {folder}");
    let mut failed = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        let mut runner = Runner::default();
        for (index, line) in text.lines().enumerate() {
            let words = Words::of_line(line);
            if !words.is_empty()
                && let Err(error) = runner.line(&words)
            {
                failed.push(format!("{}:{}: {error}", file.display(), index + 1));
                break;
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
