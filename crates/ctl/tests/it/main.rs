//! Tests of the operators' command line.

mod bench;
mod catalogue;
mod changes;
mod deployment;
mod drains;
mod folders;
mod outages;
mod rollouts;
mod views;
