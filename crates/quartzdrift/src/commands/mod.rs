//! The subcommands of the command line, a module for each group of them.
mod arguments;
mod invoke;
mod outcome;
mod run;
mod store;
mod views;

pub(crate) use arguments::{Arguments, Command};
pub(crate) use invoke::invoke;
pub(crate) use run::{check, run, serve};
pub(crate) use store::store;
pub(crate) use views::{members, recovery};
