//! Runs scenarios over simulated or real hosts.

fn main() {}
