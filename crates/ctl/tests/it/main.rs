//! Tests of the `kingcupford-ctl` commands.

mod harness;
mod catalogue;
mod changes;
mod deployment;
mod drains;
mod folders;
mod outages;
mod rollouts;
mod views;
