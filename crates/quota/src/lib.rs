//! Division of fleet-wide caps into shares, loans and token buckets.
