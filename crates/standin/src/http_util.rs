//! Helpers for HTTP requests and responses.

use std::net::SocketAddr;

use http::StatusCode;
use poem::{Request, Response};
use serde::Serialize;

pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).expect("responses are plain JSON values");
    Response::builder().status(status).content_type("application/json").body(bytes)
}

/// Creates an error response whose JSON body holds `message`.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response {
    json_response(status, &serde_json::json!({ "message": message }))
}

pub(crate) fn client_address(request: &Request) -> Option<SocketAddr> {
    request.remote_addr().as_socket_addr().copied()
}

/// Returns the value of a header, or `None` when it is missing or not visible ASCII.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Decodes `%XX` sequences. Returns `None` when a sequence is malformed or the result is not valid
/// UTF-8.
pub(crate) fn percent_decode(text: &str) -> Option<String> {
    let mut res = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            res.push(byte);
            continue;
        }
        let digits = [bytes.next()?, bytes.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        res.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(res).ok()
}
