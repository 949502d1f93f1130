//! The entry host: lookups and forwarding.

fn main() {}
