//! Asynchronous requests on disk: a write-ahead log in segments.
//!
//! [`Log::open`] reads what is there and gives the requests that are not over; [`Log::commit`] writes changes, all or none of a
//! batch, and returns once they last. A log that could not write is of no more use until it is opened again: what is on the
//! disk after a failed sync is not known.
//!
//! * `frame`: batches with length and checksum.
//! * `files`: the little that is asked of a file system, and a folder that does it.
//! * `log`: segments, recovery, and what is no longer needed.
mod files;
mod frame;
mod log;

pub use files::{Files, Folder};
pub use log::{Log, Looked, Unusable, look, repair};

use serde::{Deserialize, Serialize};

/// A request that is not over. Times are microseconds since 1970.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Live {
    pub id: u64,
    pub taken_us: u64,
    pub due_us: u64,
    /// Tries that ran or are out.
    pub tries: u32,
    /// May be tried until then only.
    pub confined_us: Option<u64>,
    /// A try left then and has not ended as far as is known: it may have run.
    pub out_us: Option<u64>,
    /// The request itself, as its owner writes it.
    pub request: Vec<u8>,
}

impl Live {
    /// All of it but the request itself.
    fn without_request(&self) -> Live {
        let &Live {
            id,
            taken_us,
            due_us,
            tries,
            confined_us,
            out_us,
            request: _,
        } = self;
        Live {
            id,
            taken_us,
            due_us,
            tries,
            confined_us,
            out_us,
            request: Vec::new(),
        }
    }

    /// What becomes of it by a change that neither makes nor ends it.
    fn change(&mut self, change: &Change) {
        match *change {
            Change::Out { at_us, tries, .. } => (self.out_us, self.tries) = (Some(at_us), tries),
            Change::Waits {
                due_us,
                tries,
                confined_us,
                ..
            } => {
                (self.due_us, self.tries, self.confined_us, self.out_us) = (due_us, tries, confined_us, None);
            }
            Change::Kept(_) | Change::Over { .. } => {}
        }
    }
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Taken, or moved here from an older segment.
    Kept(Live),
    Out {
        id: u64,
        at_us: u64,
        tries: u32,
    },
    Waits {
        id: u64,
        due_us: u64,
        tries: u32,
        confined_us: Option<u64>,
    },
    Over {
        id: u64,
    },
}
