//! The policy of one entry host.
