//! Rollouts of service versions, fault tests and the controller lease.
