//! Lists of workers. No I/O.
//!
//! * [`list`]: the published HTTP service discovery JSON (targets and labels), read and written.
//! * [`stream`]: server-sent events, by which changes are pushed.
//! * [`belief`]: what is done with a list that cannot be read, is empty or lacks most of the workers.
pub mod belief;
pub mod list;
pub mod stream;
