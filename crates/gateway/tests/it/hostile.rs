//! Tests of malformed messages from callers.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

use crate::{
    harness::with_process,
    upstream::{Behaviour, Upstream},
};

const HEAD: &str = "POST /order/1 HTTP/1.1\r\nhost: host.example\r\nx-id: 1\r\nx-key: good\r\n";

/// Sends bytes and returns what arrives until the connection ends or is silent for 300 ms.
async fn send(address: std::net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(Ok(read @ 1..)) =
        timeout(Duration::from_millis(300), stream.read(&mut chunk)).await
    {
        received.extend_from_slice(&chunk[..read]);
    }
    received
}

/// Guards against a message that ends the process, or that reaches an instance as another request
/// than the caller sent.
#[tokio::test]
async fn caller_messages_malformed() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    with_process(&[&upstream], async |harness| {
        let noise: Vec<u8> =
            (0..50_000u32).map(|it| (it.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
        let long_head = format!("{HEAD}x-long: {}\r\n\r\n", "a".repeat(200_000));
        let many_headers = format!("{HEAD}{}\r\n", "x-more: 1\r\n".repeat(2000));
        let texts = [
            "\r\n\r\n".to_owned(),
            "GET\r\n\r\n".to_owned(),
            "GET http://[::1 HTTP/1.1\r\nhost: host.example\r\n\r\n".to_owned(),
            "GET / HTTP/1.1\r\nhost: host.example:99999999999999999999\r\n\r\n".to_owned(),
            "GET / HTTP/1.1\r\nhost: :\r\nx-id: \r\n\r\n".to_owned(),
            "OPTIONS * HTTP/1.1\r\nhost: host.example\r\n\r\n".to_owned(),
            "CONNECT host.example:1 HTTP/1.1\r\nhost: host.example\r\n\r\n".to_owned(),
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
            format!("{HEAD}content-length: -1\r\n\r\n"),
            format!("{HEAD}content-length: 99999999999999999999\r\n\r\n"),
            format!("{HEAD}content-length: 1\r\ncontent-length: 2\r\n\r\nabc"),
            format!("{HEAD}transfer-encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n"),
            format!("{HEAD}transfer-encoding: chunked\r\n\r\nzz\r\n"),
            format!("{HEAD}transfer-encoding: gzip\r\n\r\n"),
            long_head,
            many_headers,
        ];
        for it in texts.iter().map(String::as_bytes).chain([noise.as_slice()]) {
            send(harness.listen.callers, it).await;
            send(harness.listen.lookup, it).await;
        }
        assert!(upstream.requests().is_empty(), "{:?}", upstream.requests());
        for deadline in ["18446744073709551615", "99999999999999999999", "-1", "0", "NaN", ""] {
            let request = harness.request("GET", "/read/1", "id-1").header("x-deadline", deadline);
            let response = request.send().await.unwrap();
            assert!([200, 503].contains(&response.status().as_u16()), "{deadline}: {response:?}");
        }
        let response = harness.request("GET", "/read/1", "id-2").send().await.unwrap();
        assert_eq!(response.status(), 200);
    })
    .await;
}

/// Guards against a body that is forwarded in another encoding than the caller declared.
#[tokio::test]
async fn caller_body_encoded() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    with_process(&[&upstream], async |harness| {
        let request = format!("{HEAD}transfer-encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n");
        let received = send(harness.listen.callers, request.as_bytes()).await;
        assert!(received.starts_with(b"HTTP/1.1 4") || received.starts_with(b"HTTP/1.1 501"));
        assert!(upstream.requests().is_empty(), "{:?}", upstream.requests());
    })
    .await;
}
