//! Stand-ins for the platform and for upstreams.

fn main() {}
