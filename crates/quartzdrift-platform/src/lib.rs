//! The protocol of the platform that runs the schedulers. Does no I/O and reads no clock.
//!
//! * [`frame`]: encodes and decodes frames between schedulers and workers.
//! * [`request_fields`]: validates the fields of a client's request before anything is sent to a worker.
//! * [`report`]: parses load reports of workers.
//! * [`attempt_outcome`]: maps answers and lost connections to outcomes of attempts.
//! * [`connection_choice`]: chooses the connection to a worker that carries an attempt.
//! * [`config`], [`settings`]: parse the configuration and the settings of a scheduler.
//! * [`coordinator`]: applies the coordinator's events to the list of workers.
//! * [`budget`]: divides the file descriptors between connections to clients and to workers.
//! * [`memory_budget`]: bounds the bytes that are held for clients.
pub mod attempt_outcome;
pub mod budget;
pub mod config;
pub mod connection_choice;
pub mod coordinator;
pub mod frame;
pub mod memory_budget;
pub mod report;
pub mod request_fields;
pub mod settings;
