//! Types of the scheduler's interface: events, actions and settings.
//!
//! A time is a `Duration` since the zero of a monotonic clock, which is the same for all events of a
//! scheduler. A setting that is not configured is `None`.
mod action;
mod event;
mod settings;

pub use action::{Action, Notice, RejectReason, WorkerStanding};
pub use event::{
    CacheResult, Endpoint, EndpointListKind, EndpointState, Event, Outcome, Request, RequestId, UsageForecast,
};
pub use settings::{
    ActionLimits, CacheMissPolicy, CacheSettings, CapacityHints, DeduplicationScope, DiscoveryMode,
    GoalWeights, Idempotency, Prices, PriorityUnit, ReportField, ReportSource, RequestClass, Rules, Settings,
    Tenant,
};
