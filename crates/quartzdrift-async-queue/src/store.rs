//! Where taken requests are kept. The queue works on what it holds in memory, and says each change of it before it is acted on.
use crate::queue::{Id, Submitted};
use std::time::Duration;

pub trait Store {
    /// A request was taken. It may be answered as taken once this lasts.
    fn taken(&mut self, id: Id, at: Duration, request: &Submitted);
    /// A try of it is about to leave: after a crash it may have run. It may leave once this lasts, unless it may run again
    /// anyway.
    fn out(&mut self, id: Id, at: Duration, tries: u32);
    /// It waits again.
    fn waits(&mut self, id: Id, until: Duration, tries: u32, confined: Option<Duration>);
    /// It is over.
    fn over(&mut self, id: Id);
}

/// Keeps nothing beyond the queue's own memory: what waits is lost with the process.
#[derive(Debug, Default)]
pub struct Memory;

impl Store for Memory {
    fn taken(&mut self, _: Id, _: Duration, _: &Submitted) {}
    fn out(&mut self, _: Id, _: Duration, _: u32) {}
    fn waits(&mut self, _: Id, _: Duration, _: u32, _: Option<Duration>) {}
    fn over(&mut self, _: Id) {}
}

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Taken {
        id: Id,
        at: Duration,
        request: Vec<u8>,
    },
    Out {
        id: Id,
        at: Duration,
        tries: u32,
    },
    Waits {
        id: Id,
        until: Duration,
        tries: u32,
        confined: Option<Duration>,
    },
    Over {
        id: Id,
    },
}

/// Collects the changes for whoever makes them last; nothing where it is off.
#[derive(Debug, Default)]
pub struct Changes {
    on: bool,
    all: Vec<Change>,
}

impl Changes {
    pub fn new(on: bool) -> Changes {
        Changes { on, all: Vec::new() }
    }

    /// All since the last call, to be made to last together or not at all.
    pub fn take(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.all)
    }

    /// Puts back what could not be handed over yet.
    pub fn put_back(&mut self, mut changes: Vec<Change>) {
        changes.append(&mut self.all);
        self.all = changes;
    }

    fn add(&mut self, change: impl FnOnce() -> Change) {
        if self.on {
            self.all.push(change());
        }
    }
}

impl Store for Changes {
    fn taken(&mut self, id: Id, at: Duration, request: &Submitted) {
        self.add(|| Change::Taken {
            id,
            at,
            request: request.to_bytes(),
        });
    }

    fn out(&mut self, id: Id, at: Duration, tries: u32) {
        self.add(|| Change::Out { id, at, tries });
    }

    fn waits(&mut self, id: Id, until: Duration, tries: u32, confined: Option<Duration>) {
        self.add(|| Change::Waits {
            id,
            until,
            tries,
            confined,
        });
    }

    fn over(&mut self, id: Id) {
        self.add(|| Change::Over { id });
    }
}
