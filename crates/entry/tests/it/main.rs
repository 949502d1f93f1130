//! Integration tests with entry processes over loopback sockets.

mod support;

mod outcomes;
mod limits;
mod forwarding;
mod shutdown;
mod input;
mod keys;
mod platform;
mod session;
mod tls;
