//! Stand-ins of the platform around processes of the scheduler: clients (FastCGI), workers (binary frames) and
//! the coordinator (numbered events over HTTP). They use the standard library only, and behave as the operators'
//! pages say; a case changes one thing by a setting.
pub mod client;
pub mod coordinator;
pub mod fleet;
pub mod judge;
pub mod record;
pub mod scheduler;
pub mod traffic;
pub mod wire;
pub mod worker;
