//! The HTTP interfaces of the gateway: parsing and formatting, without I/O and without decisions.
//!
//! * [`request`] and [`function_name`]: a client's request, as the published AWS Lambda Invoke API has it.
//! * [`response`]: final answers and errors in that API's form.
//! * [`load_report`]: load reports that workers attach to responses (Open Request Cost Aggregation).
//! * [`models`]: load and unload commands, and health checks (Open Inference Protocol v2, model repository extension).
//! * [`outcome`]: what the end of a call to a worker proves about the attempt.
pub mod function_name;
pub mod load_report;
pub mod models;
pub mod outcome;
pub mod request;
pub mod response;
