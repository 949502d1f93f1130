//! Tests of the gateway process over real sockets, with scripted instances and an in-memory store.

mod follow;
mod forwarding;
mod harness;
mod hostile;
mod lookups;
mod shutdown;
mod upstream;
