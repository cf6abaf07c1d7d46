//! The HTTP interfaces of the gateway to clients and workers. The crate parses and formats messages; it does
//! no I/O.
//!
//! * [`request`] and [`function_name`]: requests of clients, in the format of the AWS Lambda Invoke API.
//! * [`response`]: final responses and errors in the format of that API.
//! * [`load_report`]: load reports that workers attach to responses (Open Request Cost Aggregation).
//! * [`models`]: load and unload commands, and health checks (Open Inference Protocol v2 with its model
//!   repository extension).
//! * [`outcome`]: classification of call results by whether the request may have been executed.
pub mod function_name;
pub mod load_report;
pub mod models;
pub mod outcome;
pub mod request;
pub mod response;
