//! Small parts of requests and responses that both stand-ins share.

use std::net::SocketAddr;

use http::StatusCode;
use poem::{Request, Response};
use serde::Serialize;

/// A JSON response.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).expect("responses are plain JSON values");
    Response::builder().status(status).content_type("application/json").body(bytes)
}

/// An error response with a message.
pub(crate) fn refusal(status: StatusCode, message: &str) -> Response {
    json(status, &serde_json::json!({ "message": message }))
}

/// Address of the client.
pub(crate) fn peer(request: &Request) -> Option<SocketAddr> {
    request.remote_addr().as_socket_addr().copied()
}

/// The text of a header.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Decodes `%XX` sequences, `None` when they are not valid UTF-8.
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
