//! The whole path in one process on loopback.

fn main() {}
