//! Tests of the process over real sockets, against scripted instances and a store in memory.

mod follow;
mod forwarding;
mod harness;
mod lookups;
mod upstream;
