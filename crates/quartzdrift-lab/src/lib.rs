//! Test tools for quartzdrift: fakes of the processes around a gateway, fault scenarios with an auditor, load
//! generators and a simulation.
//!
//! * [`worker`]: fake workers on sockets; [`worker_model`]: the state machine that decides when their calls
//!   complete; [`functions`]: the sample functions that they run.
//! * [`store`]: a fake of the store that workers fetch functions from; [`discovery`]: a fake service
//!   discovery.
//! * [`clients`]: the clients of a scenario; [`load`]: open-loop load with a report of latencies.
//! * [`scenario`]: the format of scenario files; [`scenario_runner`]: runs of scenarios against gateway
//!   processes.
//! * [`power_loss`]: generated scenarios of power losses.
//! * [`relay`]: faults of TCP connections; [`switch`]: faults of UDP datagrams.
//! * [`record`]: the socket events of a run; [`audit`]: the check of the guarantees against them.
//! * [`simulation`]: schedulers and workers in simulated time.
//! * [`traffic`]: arrivals and traces of calls.
//! * [`experiment`]: comparison of simulated variants over scenarios and seeds.
//! * [`bench_scenario`]: converts scenarios of the bench to scaled-down scenarios of this package.
//! * [`measure`]: the cost of a gateway; [`light_workers`]: workers for it that execute nothing.
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
