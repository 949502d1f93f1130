//! Tests over real sockets and real entry processes.

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
