//! The subcommands, one module each.

pub(crate) mod calls;
pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod domain;
pub(crate) mod layout;
pub(crate) mod standin;
pub(crate) mod status;
pub(crate) mod ticket;
pub(crate) mod trace;
