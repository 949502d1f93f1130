//! Tests of the routing decisions for upstreams whose instances register themselves.

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
