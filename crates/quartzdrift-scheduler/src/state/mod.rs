//! State that the scheduling decisions read and write. The decisions themselves are in [`crate::scheduler`].
mod addresses;
mod class;
mod lease;
mod request;
mod scheduler;
mod settings;
mod worker;

pub(crate) use addresses::{Addresses, Process};
pub(crate) use class::ClassState;
pub(crate) use lease::{ActivityProof, EndpointLease, LeaseView};
pub(crate) use request::{CurrentAttempt, OpenRequest, PendingQuery};
pub use scheduler::{Scheduler, TableSizes};
pub(crate) use settings::DerivedSettings;
pub(crate) use worker::{CacheEntry, DecisionContext, Health, RemoteLoad, Worker};
