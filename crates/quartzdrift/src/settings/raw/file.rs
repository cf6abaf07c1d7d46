//! The settings file, with one field for each table or array of tables.
use super::asynchronous::{Asynchronous, Timer};
use super::cache::CacheSettings;
use super::fleet::{Fleet, Recovery};
use super::forecasts::Forecasts;
use super::functions::Function;
use super::gateway::{Gateway, Limits, Log, Record};
use super::reports::Reports;
use super::request_classes::{RequestClass, Tenant};
use super::scheduler::{Allowed, Goal, Prices, Rules, Scheduler};
use super::workers::{Discovery, Worker};
use serde::Deserialize;
use toml::Spanned;

/// A settings file as deserialized from TOML, before the checks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    pub(crate) gateway: Gateway,
    #[serde(default)]
    pub(crate) limits: Limits,
    #[serde(default)]
    pub(crate) log: Log,
    #[serde(default)]
    pub(crate) scheduler: Scheduler,
    #[serde(default)]
    #[serde(rename = "workloads")]
    pub(crate) request_classes: Vec<Spanned<RequestClass>>,
    #[serde(default)]
    #[serde(rename = "customers")]
    pub(crate) tenants: Vec<Spanned<Tenant>>,
    #[serde(default)]
    pub(crate) allowed: Allowed,
    #[serde(default)]
    pub(crate) rules: Rules,
    #[serde(default)]
    pub(crate) copies: CacheSettings,
    #[serde(default)]
    pub(crate) reports: Reports,
    #[serde(default)]
    pub(crate) prices: Prices,
    #[serde(default)]
    pub(crate) goal: Goal,
    #[serde(default)]
    pub(crate) functions: Vec<Spanned<Function>>,
    #[serde(default)]
    pub(crate) workers: Vec<Spanned<Worker>>,
    #[serde(rename = "roster")]
    pub(crate) discovery: Option<Discovery>,
    #[serde(default)]
    #[serde(rename = "deferred")]
    pub(crate) asynchronous: Asynchronous,
    #[serde(default)]
    pub(crate) timers: Vec<Spanned<Timer>>,
    pub(crate) forecasts: Option<Forecasts>,
    pub(crate) record: Option<Record>,
    pub(crate) fleet: Option<Fleet>,
    #[serde(default)]
    pub(crate) recovery: Recovery,
}
