//! Test tools for quartzdrift: fakes, fault scenarios with an auditor, load generators and a simulation.
//!
//! * [`worker`]: fake workers on sockets, by the model of their execution in [`worker_model`]; [`functions`]:
//!   the sample functions that they run.
//! * [`store`], [`discovery`]: fakes of the store that functions are fetched from and of service discovery.
//! * [`clients`], [`load`]: clients of a scenario, and open-loop load with a report of latencies.
//! * [`scenario`], [`scenario_runner`]: scenario files with faults, and their runs against gateway processes.
//! * [`power_loss`]: generated scenarios of power losses.
//! * [`relay`], [`switch`]: faults of connections and of datagrams.
//! * [`record`], [`audit`]: the recorded socket events of a run, and the check of the guarantees from them.
//! * [`simulation`]: schedulers and workers in simulated time.
//! * [`traffic`]: arrivals and traces of calls.
//! * [`experiment`]: comparison of simulated variants over scenarios and seeds.
//! * [`bench_scenario`]: converts scenarios of the bench to scaled-down scenarios of this package.
//! * [`measure`], [`light_workers`]: what a gateway costs, measured with workers that only respond.
//! * [`platform`]: fakes of the platform that a scheduler runs on.
//! * [`cluster_harness`]: a scheduler process between the fakes of the platform, for tests.
//! * [`actor`]: the event loop that fakes run on.
//! * [`naive`]: a gateway that violates the guarantees, to prove that the auditor finds it.
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
