//! Implementation of `kingcupford-ctl`, the command line tool with which operators inspect and
//! change a deployment.

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
mod rollout_edit;
mod rollout_view;
mod run;
mod session;
mod status;
mod store;
mod table;
mod zones;

pub use crate::{
    console::{Console, Format},
    exit::ExitStatus,
    run::run,
};
