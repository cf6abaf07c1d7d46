//! Runs each file in `scenarios/` against a scheduler of its own, and checks the expectations in the file.
//!
//! Each line is a setting, an event or an expectation, and `#` starts a comment. A request is called a job,
//! an attempt an execution, a request class a workload, a tenant a customer, and a load command an order.
//!
//! Settings apply to the scheduler that the next event creates: the first event of a file, or the first one
//! after `restart`. The first `set` line adds the first request class; without one, every request is
//! rejected. The settings of requests apply to the first request class, except `importance`.
//!
//!     set effect run-once         idempotency: `restartable` (idempotent), `fingerprinted` (idempotent with
//!                                 key) or `run-once` (non-idempotent)
//!     set group zone              deduplication scope
//!     set window 2s               deduplication window
//!     set target 40s              latency objective
//!     set workloads 2             number of request classes; new ones are copies of the first
//!     set importance 1 5          priority weights of the request classes
//!     set customers 2             number of tenants, each with a quota of 10 requests per second
//!     set executions 3            maximum number of attempts of a request
//!     set cancel                  the scheduler may cancel attempts
//!     set retry-after 2s          rejections tell the client when to retry, in at most this time
//!     set schedulers 3            number of schedulers
//!     set keep 8s                 keep-alive of a cached copy
//!     set told                    responses report the cache status
//!     set memory 1000             memory of a worker for cached copies, in MB
//!     set orders free=2 share=0 window=5s fetch=0.1 memory=1
//!                                 the scheduler may send load commands: burst, share and window of the load
//!                                 quota, price of a fetch from the origin store and of idle memory
//!     set fall 0.2 10s 3 2s       slow start: minimum capacity, duration, overload multiple and overload
//!                                 window; `-`: not configured
//!     set lease 2s 500ms          lease of the endpoint list, and drain grace
//!     set discovery ask           discovery mode `Poll`
//!     set ask-within 300ms        endpoint refresh limit
//!     set report held             load reports contain the number of requests at the worker; `memory`: the
//!                                 share of its memory that cannot be reclaimed
//!
//! Events, and the lines that control the scenario:
//!
//!     at 100ms                    time of the lines that follow
//!     list full a b:draining c^2s d@1*2
//!                                 endpoint list: kind (`full`, `saved`, `changes` or `failed`), then workers
//!                                 with state (`:draining`, `:gone`), start time (`^`), zone (`@`), kind of
//!                                 machine (`*`) and port of its address (`=`)
//!     confirmed 90ms              discovery confirmed the endpoint list as of this time, or as of now
//!     disconnected a              worker a closed an idle connection
//!     replace 10000 30 every=1s   starts 10000 workers at this interval, of which the latest 30 are up; a
//!                                 request succeeds after each start
//!     job 7 f left=1s             request 7 for function f; `workload=`, `customer=` and `mb=` (memory of a
//!                                 copy) may follow
//!     jobs 10 40 f g workload=1   requests 10 to 39 for the functions in turn; with `every=` one at a time
//!                                 at this interval, each of which succeeds at once with a duration of 100
//!                                 ms, or of 300 ms at workers of the kind of machine `slow=`
//!     end 7 finished warm         the attempt of request 7 in flight ended: `finished`, `error`, `full`,
//!                                 `timed-out`, `connect-failed`, `reset`, `cancelled`, `moot` (never sent)
//!                                 or `miss`. `over` (the request is concluded), `open` (it is not), the
//!                                 cache result (`warm`, `began`, `unloadable`), `took=` (duration) and
//!                                 `held=` (value of the load report) may follow
//!     end-all finished            all attempts in flight ended
//!     tick                        the scheduler's timer expired
//!     expire 7                    the client of request 7 left
//!     expect f sure=0.9 within=8s mb=100
//!                                 forecast for function f: probability, horizon and memory of a copy
//!     loaded f                    the load command that `ordered` expected last succeeded; `error` or `full`
//!                                 may follow
//!     schedulers 40               the number of schedulers changed
//!     restart                     the next event creates a new scheduler; `restart knowing` creates it now
//!                                 and restores the measurements of the old one. Resets the counts of
//!                                 `sent-most`
//!     forget                      drops the actions that no expectation has consumed
//!     recount                     resets the counts of `sent-most` and `loads-most`
//!
//! An expectation consumes the first action that matches it, in any order:
//!
//!     sent 7 to a                 an attempt of request 7 at worker a; `not a`: at another worker; neither:
//!                                 at any
//!     sent-there 7                an attempt of request 7 at the worker of the last `ordered`
//!     pushed-back 7               request 7 is rejected, with a retry delay if and only if `retry-after` is
//!                                 set
//!     killed 7                    request 7 fails
//!     cancelled 7                 the attempt of request 7 is cancelled
//!     watched                     the scheduler starts a watch on the endpoint list
//!     ordered f                   a load command for one copy of function f
//!     quiet                       no action is left, except timers
//!     sent-most a 5               at most 5 attempts were sent to worker a; also `sent-least`
//!     loads-most 4                at most 4 pairs of a function and a worker had an attempt; also
//!                                 `loads-least`
//!     places-most workers 630     the scheduler keeps at most 630 `workers`, `functions` or `jobs`; also
//!                                 `places-least`
mod scenario_runner;

use scenario_runner::{Runner, Words};

#[test]
fn every_scenario_meets_its_expectations() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path()).collect();
    files.sort();
    assert!(!files.is_empty(), "no scenario in {folder}");
    let mut errors = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        let mut runner = Runner::default();
        for (index, line) in text.lines().enumerate() {
            let words = Words::of_line(line);
            if !words.is_empty()
                && let Err(error) = runner.run_line(&words)
            {
                errors.push(format!("{}:{}: {error}", file.display(), index + 1));
                break;
            }
        }
    }
    assert!(errors.is_empty(), "{}", errors.join("\n"));
}
