//! Scheduling decisions for a router of function requests, whose functions the workers load on demand: which
//! worker executes a request, and which final response a request gets that no worker accepts.
//!
//! [`scheduler::Scheduler`] makes the decisions. Its events, actions and settings are in [`interface`]. It
//! reads no clock and performs no I/O.
//!
//! ```
//! use quartzdrift_scheduler::interface::{Action, Endpoint, EndpointListKind, EndpointState, Event};
//! use quartzdrift_scheduler::interface::{Request, RequestClass, Settings};
//! use quartzdrift_scheduler::scheduler::Scheduler;
//! use std::time::Duration;
//!
//! let class = RequestClass { timeout: Some(Duration::from_secs(3)), ..RequestClass::default() };
//! let settings = Settings { request_classes: vec![class], ..Settings::default() };
//! let mut scheduler = Scheduler::new(&settings, 7);
//! let now = Duration::from_secs(1);
//! let entries = vec![Endpoint { worker: "a:1", state: EndpointState::Up, ..Endpoint::default() }];
//! scheduler.handle(now, Event::EndpointList { kind: EndpointListKind::Snapshot, entries });
//! let request = Request { id: 5, function: "f", time_left: Duration::from_secs(3), ..Request::default() };
//! let actions = scheduler.handle(now, Event::Request(request));
//! let sent = |action: &Action| {
//!     matches!(action, Action::StartAttempt { request: 5, worker, .. } if &**worker == "a:1")
//! };
//! assert!(actions.iter().any(sent));
//! ```

pub mod interface;
mod mailbox;
pub mod measure;
mod messages;
mod names;
pub mod scheduler;
mod state;
