//! The settings file as deserialized from TOML, with one module for each group of tables. Use [`File`] to
//! deserialize a file. An unknown key, a wrong type or an invalid unit is an error with its position. The
//! names of the types appear in error texts and are therefore part of the command line's output.
mod asynchronous;
mod cache;
mod duration;
mod file;
mod fleet;
mod forecasts;
mod functions;
mod gateway;
mod reports;
mod request_classes;
mod scheduler;
mod scheduler_settings;
mod workers;

pub(crate) use asynchronous::{Answer, Asynchronous, Missed, Timer};
pub(crate) use cache::{CacheMissPolicy, CacheSettings};
pub(crate) use duration::HumanDuration;
pub(crate) use file::File;
pub(crate) use fleet::{Fleet, IdempotencyKeysIn};
pub(crate) use forecasts::Forecasts;
pub(crate) use functions::{DestinationEntry, Function};
pub(crate) use gateway::LogForm;
pub(crate) use reports::{ReportField, ReportSource};
pub(crate) use request_classes::{DeduplicationScope, Idempotency, RequestClass, Tenant};
pub(crate) use scheduler::{
    Allowed, CapacityHints, DiscoveryMode, Goal, Prices, PriorityUnit, Rules, Scheduler,
};
pub(crate) use workers::{Discovery, Worker};
