//! The subcommands of the command line, with one module for each group of subcommands.
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
