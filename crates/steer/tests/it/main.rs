//! Tests of the decisions for upstreams that register themselves.

mod rate_limit;
mod canary;
mod selector;
mod common;
mod freshness;
mod load;
mod manifest;
mod members;
mod instance_registry;
mod shift;
mod split;
mod steering;
