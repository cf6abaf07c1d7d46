//! State that the decisions read and write. Types only; they decide nothing by themselves.
mod class;
mod lease;
mod request;
mod scheduler;
mod settings;
mod worker;

pub(crate) use class::ClassState;
pub(crate) use lease::{ActivityProof, EndpointLease, LeaseView};
pub(crate) use request::{OpenRequest, PendingQuery, UncertainAttempt};
pub use scheduler::{Scheduler, TableSizes};
pub(crate) use settings::DerivedSettings;
pub(crate) use worker::{CacheEntry, DecisionContext, Health, RemoteLoad, Worker};
