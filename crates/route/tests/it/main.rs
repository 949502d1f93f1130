//! Tests of the `route` crate.

mod balance;
mod block;
mod fleet;
mod host;
mod quarantine;
mod request_id;
mod retry;
