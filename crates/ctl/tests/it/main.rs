//! Tests of the `kingcupford-ctl` commands.

mod catalogue;
mod changes;
mod deployment;
mod drains;
mod folders;
mod harness;
mod outages;
mod rollouts;
mod views;
