//! The protocol of the operators' platform. No I/O, no clock.
//!
//! * [`frame`]: what schedulers and workers send each other.
//! * [`request_fields`]: a client's fields, read and checked before anything reaches a worker.
//! * [`report`]: load reports of workers.
//! * [`attempt_outcome`]: what each end on a worker's connection proves.
//! * [`connection_choice`]: which connection to a worker carries an attempt.
//! * [`config`], [`settings`]: what a scheduler is told at its start.
//! * [`coordinator`]: the list of workers, event by event.
//! * [`budget`]: who may hold how many descriptors.
pub mod attempt_outcome;
pub mod budget;
pub mod config;
pub mod connection_choice;
pub mod coordinator;
pub mod frame;

pub mod report;
pub mod request_fields;
pub mod settings;
