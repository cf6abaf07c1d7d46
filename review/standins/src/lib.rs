//! Stand-ins of the operators' platform (front, workers, coordinator) and the runner of a scheduler process,
//! written from the operators' pages. They need the standard library only.
pub mod coordinator;
pub mod day;
pub mod fastcgi;
pub mod frames;
pub mod front;
pub mod record;
pub mod scheduler;
pub mod site;
pub mod worker;

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex. A panic of another thread does not matter to the data here.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Whether the disruption takes place (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
