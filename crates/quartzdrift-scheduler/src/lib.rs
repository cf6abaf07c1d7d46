//! Decides for a router of functions that workers load on demand: which worker runs a request, and what
//! becomes of a request that no worker can take. [`scheduler`] holds every decision, [`interface`] only types.
//!
//! ```
//! use quartzdrift_choice::choice::Scheduler;
//! use quartzdrift_choice::interface::*;
//! use std::time::Duration;
//!
//! let workload = Workload { time_limit: Some(Duration::from_secs(3)), ..Workload::default() };
//! let settings = Settings { workloads: vec![workload], ..Settings::default() };
//! let mut scheduler = Scheduler::new(&settings, 7);
//! let now = Duration::from_secs(1);
//! let entries = vec![Entry { worker: "a:1", state: State::Up, ..Entry::default() }];
//! scheduler.handle(now, Event::List { form: ListForm::Saved, entries });
//! let job = JobAsked { job: 5, function: "f", left: Duration::from_secs(3), ..JobAsked::default() };
//! let actions = scheduler.handle(now, Event::Job(job));
//! let sent = |a: &Action| matches!(a, Action::Execute { job: 5, worker, .. } if &**worker == "a:1");
//! assert!(actions.iter().any(sent));
//! ```
pub mod interface;
mod mailbox;
pub mod measure;
mod messages;
mod names;
pub mod scheduler;
mod state;
