//! Where taken jobs are kept. The queue works on what it holds in memory; a store that lasts is told of each
//! change before it is acted on.
use crate::queue::{Id, Submitted};
use std::time::Duration;

pub trait Store {
    /// A job was taken. It may be answered as taken once this has returned and [`Store::durable`] says so.
    fn taken(&mut self, id: Id, at: Duration, job: &Submitted);
    /// A try of it is about to leave: after a crash it may have run.
    fn out(&mut self, id: Id, tries: u32);
    /// It waits again.
    fn waits(&mut self, id: Id, until: Duration, tries: u32, confined: Option<Duration>);
    /// It is over.
    fn over(&mut self, id: Id);
    /// Up to which id all that was taken lasts.
    fn durable(&self, id: Id) -> bool;
}

/// Keeps nothing beyond the queue's own memory: what waits is lost with the process.
#[derive(Debug, Default)]
pub struct Memory;

impl Store for Memory {
    fn taken(&mut self, _: Id, _: Duration, _: &Submitted) {}
    fn out(&mut self, _: Id, _: u32) {}
    fn waits(&mut self, _: Id, _: Duration, _: u32, _: Option<Duration>) {}
    fn over(&mut self, _: Id) {}
    fn durable(&self, _: Id) -> bool {
        true
    }
}
