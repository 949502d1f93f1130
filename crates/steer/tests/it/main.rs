//! Tests of the decisions for upstreams that register themselves.

mod allowance;
mod canary;
mod choose;
mod common;
mod freshness;
mod load;
mod manifest;
mod members;
mod ready_set;
mod shift;
mod split;
mod steering;
