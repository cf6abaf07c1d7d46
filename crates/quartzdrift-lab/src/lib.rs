//! The lab: what the gateway is tried against, and what judges it.
//!
//! * [`worker_model`] and [`worker`]: fake workers, first without and then with sockets; [`functions`] that they run.
//! * [`store`], [`discovery`]: fakes for the store that functions are fetched from and for the list of workers.
//! * [`clients`], [`load`]: clients of a day, and open-loop load with a report.
//! * [`scenario`], [`scenario_runner`], [`record`], [`audit`]: days of faults, what passed on the sockets, and the verdict.
//! * [`simulation`]: a fleet in simulated time, with the real desk, module and forecasts; [`traffic`] of days, and
//!   [`experiment`], which compares variants over days and seeds.
//! * [`bench_scenario`]: days of the decision module's bench, scaled down to scripts.
//! * [`measure`], with [`light_workers`] workers: what a gateway costs.
//! * [`platform`]: fakes for the operators' platform; [`cluster_harness`]: a scheduler between them.
//! * [`actor`]: the event loop that fakes run on.
//! * [`naive`]: a gateway that breaks the rules, to prove that the auditor sees it.
pub mod actor;
pub mod audit;
pub mod bench_scenario;
pub mod clients;
pub mod cluster_harness;
pub mod discovery;
pub mod experiment;
pub mod functions;
pub mod light_workers;
pub mod load;
pub mod measure;
pub mod naive;
pub mod platform;
pub mod power_loss;
pub mod record;
pub mod relay;
pub mod scenario;
pub mod scenario_runner;
pub mod simulation;
pub mod store;
pub mod switch;
pub mod traffic;
pub mod worker;
pub mod worker_model;
