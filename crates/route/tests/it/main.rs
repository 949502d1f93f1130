//! Tests of the `route` crate.

mod balancer;
mod block_table;
mod deployment;
mod host_table;
mod quarantine;
mod request_id;
mod retry;
