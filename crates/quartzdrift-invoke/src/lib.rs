//! What is said on the sockets, in both directions. Parsing and formatting only: no I/O, no decisions.
//!
//! * [`name`] and [`call`]: a client's call, as the published AWS Lambda Invoke API has it.
//! * [`answer`]: the final answers in that API's form.
//! * [`orca`]: load reports as workers attach them to answers (Open Request Cost Aggregation).
//! * [`models`]: orders to load and unload, and probes (Open Inference Protocol v2, model repository extension).
//! * [`verdict`]: what an answer, or its absence, proves about an attempt.
pub mod answer;
pub mod call;
pub mod models;
pub mod name;
pub mod orca;
pub mod verdict;
