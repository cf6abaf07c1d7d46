//! The protocol of the operators' platform. No I/O, no clock.
//!
//! * [`frame`]: what schedulers and workers send each other.
//! * [`asked`]: a client's fields, read and checked before anything reaches a worker.
//! * [`report`]: load reports of workers.
//! * [`proof`]: what each end on a worker's connection proves.
//! * [`lanes`]: which connection to a worker carries an attempt.
//! * [`config`], [`settings`]: what a scheduler is told at its start.
//! * [`coordinator`]: the list of workers, event by event.
//! * [`budget`]: who may hold how many descriptors.
pub mod asked;
pub mod budget;
pub mod config;
pub mod coordinator;
pub mod frame;
pub mod lanes;
pub mod proof;
pub mod report;
pub mod settings;
