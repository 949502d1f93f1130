//! The operators' command line.

mod apply;
mod change;
mod confirm;
mod console;
mod drain;
mod exit;
mod flags;
mod keys;
mod presets;
mod rollout;
mod rollout_view;
mod rollout_write;
mod run;
mod session;
mod status;
mod store;
mod table;
mod zones;

pub use crate::{
    console::{Console, Format},
    exit::Exit,
    run::run,
};
