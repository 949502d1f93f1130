//! Connections between hosts: HTTP/2 streams over mutual TLS.
