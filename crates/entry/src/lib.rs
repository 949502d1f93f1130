//! The entry host: lookups and forwarding.
