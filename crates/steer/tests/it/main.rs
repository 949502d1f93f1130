//! Tests of the routing decisions for upstreams whose instances register themselves.

mod canary;
mod common;
mod freshness;
mod instance_registry;
mod load;
mod manifest;
mod members;
mod rate_limit;
mod rollout_faults;
mod selector;
mod shift;
mod split;
mod steering;
