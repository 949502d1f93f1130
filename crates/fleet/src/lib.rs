//! Membership, heartbeats and documents whose versions only increase.
