//! Tests of forwarding: requests, attempts and responses.

use std::{sync::atomic::Ordering, time::Duration};

use futures_util::future::join_all;
use kingcupford_gateway::GatewaySettings;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

use crate::{
    harness::{listen_addresses, settings, wait_for, with_process, with_settings},
    upstream::{Behaviour, EndlessPart, STALLED_BYTES, Upstream, header},
};

/// Guards against a request that is changed on the way, or that reveals the caller's API key to an
/// upstream.
#[tokio::test]
async fn request_unchanged() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    with_process(&[&upstream], async |harness| {
        let response = harness
            .request("POST", "/order/7?x=%20y&z", "id-1")
            .header("x-tenant", "forged")
            .header("x-target", "forged")
            .header("x-deadline", "700")
            .header("x-other", "kept")
            .body("coins")
            .send()
            .await
            .unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["x-id"], "id-1");
        assert_eq!(response.headers()["x-seal"], "s");
        assert_eq!(response.text().await.unwrap(), "coins");
        let requests = upstream.requests();
        assert_eq!(requests.len(), 1);
        let head = &requests[0].head;
        assert!(head.starts_with("POST /order/7?x=%20y&z HTTP/1.1\r\n"), "{head}");
        assert_eq!(header(head, "host").unwrap(), "host.example");
        assert_eq!(header(head, "x-tenant").unwrap(), "acme");
        assert_eq!(header(head, "x-target").unwrap(), "i1");
        assert_eq!(header(head, "x-other").unwrap(), "kept");
        assert_eq!(header(head, "x-key"), None);
        let remaining_ms: u64 = header(head, "x-deadline").unwrap().parse().unwrap();
        assert!((600..=700).contains(&remaining_ms), "{remaining_ms}");
        assert_eq!(requests[0].body, b"coins");
    })
    .await;
}

/// Guards against responses that belong to another request, that no instance produced, or that are
/// incomplete, when they are forwarded as if they were valid.
#[tokio::test]
async fn response_invalid() {
    let faults = [
        Behaviour::WrongId,
        Behaviour::NoSeal,
        Behaviour::Truncated,
        Behaviour::Reset,
        Behaviour::InvalidResponse,
        Behaviour::CloseDelimitedReset,
    ];
    for fault in faults {
        let upstream = Upstream::start("i1", fault).await;
        with_process(&[&upstream], async |harness| {
            let response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
            assert_eq!(response.status(), 502, "{fault:?}");
            assert_eq!(response.headers()["kingcupford-outcome"], "unknown", "{fault:?}");
            // The request may have run, so it must not be sent again.
            assert_eq!(upstream.requests().len(), 1, "{fault:?}");
        })
        .await;
    }
}

/// Guards against failures of one instance that reach callers although the request is idempotent
/// and another instance could run it.
#[tokio::test]
async fn idempotent_request_retried() {
    let faults = [
        Behaviour::WrongId,
        Behaviour::NoSeal,
        Behaviour::Truncated,
        Behaviour::Reset,
        Behaviour::InvalidResponse,
        Behaviour::ServerError,
        Behaviour::Shed,
        Behaviour::Misdirected,
    ];
    for fault in faults {
        let first = Upstream::start("i1", fault).await;
        let second = Upstream::start("i2", Behaviour::Echo).await;
        with_process(&[&first, &second], async |harness| {
            wait_for(async || {
                let response = harness.request("GET", "/read/1", "id-1").send().await.unwrap();
                assert_eq!(response.status(), 200, "{fault:?}");
                !first.requests().is_empty() || second.requests().len() > 20
            })
            .await;
        })
        .await;
    }
}

/// Guards against a refusal that states `not-run` although the request ran, or that runs later.
#[tokio::test]
async fn refusal_not_run() {
    let upstream = Upstream::start("i1", Behaviour::Shed).await;
    with_process(&[&upstream], async |harness| {
        let response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["kingcupford-outcome"], "not-run");
        assert!(response.headers().contains_key("retry-after"));
    })
    .await;
}

/// Guards against an instance whose bytes without end are read for ever, are kept in memory, or
/// reach the caller as a response. The route's timeout is 800 ms.
#[tokio::test]
async fn response_without_end() {
    let parts = [
        EndlessPart::Noise,
        EndlessPart::Head,
        EndlessPart::Informational,
        EndlessPart::UnsealedBody,
        EndlessPart::ChunkExtension,
        EndlessPart::Trailers,
    ];
    for part in parts {
        let upstream = Upstream::start("i1", Behaviour::Endless(part)).await;
        with_process(&[&upstream], async |harness| {
            let sent_at = Instant::now();
            let response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
            assert!([502, 504].contains(&response.status().as_u16()), "{part:?}: {response:?}");
            assert_eq!(response.headers()["kingcupford-outcome"], "unknown", "{part:?}");
            assert!(sent_at.elapsed() < Duration::from_millis(1050), "{part:?}");
            wait_for(async || upstream.cancelled.load(Ordering::SeqCst) == 1).await;
            let sent_bytes = upstream.endless_bytes.load(Ordering::SeqCst);
            // Socket buffers hold most of it.
            assert!(sent_bytes < 32 << 20, "{part:?}: {sent_bytes}");
            // The process serves on.
            upstream.set_behaviour(Behaviour::Echo);
            harness.wait_for_status("/read/1", 200).await;
        })
        .await;
    }
}

/// Guards against an instance that goes on to get requests although it answers each with bytes
/// without end.
#[tokio::test]
async fn response_without_end_ejected() {
    let first = Upstream::start("i1", Behaviour::Endless(EndlessPart::Head)).await;
    let second = Upstream::start("i2", Behaviour::Echo).await;
    with_process(&[&first, &second], async |harness| {
        for at in 0..200 {
            let request = harness.request("GET", &format!("/read/{at}"), &format!("id-{at}"));
            assert_eq!(request.send().await.unwrap().status(), 200, "{at}");
        }
        let sent = first.requests().len();
        println!("{sent} of 200 sent to the instance");
        assert!((1..20).contains(&sent), "{sent}");
    })
    .await;
}

/// Guards against a body without end that is collected in memory, or that goes on after the caller
/// has left.
#[tokio::test]
async fn body_without_end() {
    let upstream = Upstream::start("i1", Behaviour::Endless(EndlessPart::Body)).await;
    with_process(&[&upstream], async |harness| {
        let mut response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
        assert_eq!(response.status(), 200);
        let mut received = 0;
        while received < 4 << 20 {
            received += response.chunk().await.unwrap().unwrap().len();
        }
        assert_eq!(upstream.cancelled.load(Ordering::SeqCst), 0);
        drop(response);
        wait_for(async || upstream.cancelled.load(Ordering::SeqCst) == 1).await;
    })
    .await;
}

/// Guards against incomplete responses of many requests that are kept in memory until their
/// timeouts, and that together exceed the memory of the machine.
#[tokio::test]
async fn responses_stalled_total_bytes() {
    const REQUESTS: usize = 60;
    let mut upstreams = Vec::new();
    for at in 0..4 {
        upstreams.push(Upstream::start(&format!("i{at}"), Behaviour::Stalled).await);
    }
    let refs: Vec<&Upstream> = upstreams.iter().collect();
    let connections =
        || upstreams.iter().map(|it| it.connections.load(Ordering::SeqCst)).sum::<usize>();
    let settings = GatewaySettings {
        max_buffered_response_bytes: 2 << 20,
        ..settings("own", "z1", listen_addresses())
    };
    with_settings(settings, &refs, async |harness| {
        let requests = (0..REQUESTS).map(|at| {
            let request = harness.request("POST", "/order/1", &format!("id-{at}"));
            async {
                let response = request.send().await.unwrap();
                let status = response.status().as_u16();
                // An incomplete response must not look complete.
                assert!(status != 200 || response.bytes().await.is_err());
                status
            }
        });
        let statuses = join_all(requests).await;
        let count = |status| statuses.iter().filter(|it| **it == status).count();
        println!("{} held, {} streamed", count(504), count(200));
        assert_eq!(count(504) + count(200), REQUESTS, "{statuses:?}");
        let held_bytes = count(504) * STALLED_BYTES;
        assert!(held_bytes <= 2 << 20, "{held_bytes} bytes held");
        // The budget is free again.
        let response = harness.request("POST", "/order/1", "alone").send().await.unwrap();
        assert_eq!(response.status(), 504);
        // Large responses are buffered, and their connections kept.
        upstreams.iter().for_each(|it| it.set_behaviour(Behaviour::Echo));
        harness.wait_for_status("/read/1", 200).await;
        let opened = connections();
        for at in 0..20 {
            let request = harness.request("GET", "/read/1", &format!("large-{at}"));
            let response = request.body(vec![b'x'; STALLED_BYTES]).send().await.unwrap();
            assert_eq!(response.status(), 200);
            assert_eq!(response.bytes().await.unwrap().len(), STALLED_BYTES);
        }
        assert!(connections() <= opened + 8, "{} opened", connections() - opened);
    })
    .await;
}

/// Guards against an instance that sends bytes without end after a complete response, on a
/// connection that is kept for the next request.
#[tokio::test]
async fn bytes_without_end_after_response() {
    let upstream = Upstream::start("i1", Behaviour::Endless(EndlessPart::Afterwards)).await;
    with_process(&[&upstream], async |harness| {
        for at in 0..20 {
            let request = harness.request("GET", "/read/1", &format!("id-{at}"));
            let response = request.send().await.unwrap();
            assert_eq!(response.status(), 200);
            assert_eq!(response.text().await.unwrap(), "ok");
        }
        wait_for(async || upstream.cancelled.load(Ordering::SeqCst) == 20).await;
    })
    .await;
}

/// Guards against bodies of many requests that arrive slowly, are kept in memory until their
/// timeouts, and together exceed the memory of the machine.
#[tokio::test]
async fn request_bodies_stalled_total_bytes() {
    const REQUESTS: usize = 60;
    const SENT_BYTES: usize = 200 * 1024;
    let mut upstreams = Vec::new();
    for at in 0..4 {
        upstreams.push(Upstream::start(&format!("i{at}"), Behaviour::Echo).await);
    }
    let refs: Vec<&Upstream> = upstreams.iter().collect();
    let settings = GatewaySettings {
        max_buffered_request_bytes: 2 << 20,
        ..settings("own", "z1", listen_addresses())
    };
    let address = settings.listen.callers;
    with_settings(settings, &refs, async |harness| {
        let send_part = async |id: String| {
            let mut stream = TcpStream::connect(address).await.unwrap();
            let head = format!(
                "POST /photo/1 HTTP/1.1\r\nhost: host.example\r\nx-id: {id}\r\nx-key: good\r\n\
                 content-length: 256000\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&[b'x'; SENT_BYTES]).await.unwrap();
            let mut status = [0; 12];
            stream.read_exact(&mut status).await.unwrap();
            String::from_utf8_lossy(&status[9..]).into_owned()
        };
        let statuses = join_all((0..REQUESTS).map(|at| send_part(format!("id-{at}")))).await;
        let count = |status| statuses.iter().filter(|it| *it == status).count();
        println!("{} held, {} streamed", count("408"), count("504"));
        assert_eq!(count("408") + count("504"), REQUESTS, "{statuses:?}");
        let held_bytes = count("408") * SENT_BYTES;
        assert!(held_bytes <= 2 << 20, "{held_bytes} bytes held");
        assert!(upstreams.iter().all(|it| it.requests().is_empty()));
        // The budget is free again.
        assert_eq!(send_part("alone".to_owned()).await, "408");
        harness.wait_for_status("/read/1", 200).await;
        let request = harness.request("POST", "/photo/1", "large");
        let response = request.body(vec![b'x'; SENT_BYTES]).send().await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(response.bytes().await.unwrap().len(), SENT_BYTES);
    })
    .await;
}

/// Guards against a second response on a connection that is taken for the response to the next
/// request.
#[tokio::test]
async fn response_duplicated() {
    let upstream = Upstream::start("i1", Behaviour::DuplicateResponse).await;
    with_process(&[&upstream], async |harness| {
        for at in 0..20 {
            let body = format!("body-{at}");
            let request = harness.request("GET", "/read/1", &format!("id-{at}"));
            let response = request.body(body.clone()).send().await.unwrap();
            assert_eq!(response.status(), 200);
            assert_eq!(response.text().await.unwrap(), body);
        }
    })
    .await;
}

/// Guards against a second copy of an earlier response that arrives after the next request was sent
/// on the connection, and reaches the next caller.
#[tokio::test]
async fn response_duplicated_late() {
    let upstream = Upstream::start("i1", Behaviour::LateDuplicate).await;
    with_process(&[&upstream], async |harness| {
        let mut answered = 0;
        for at in 0..30 {
            let body = format!("body-{at}");
            let request = harness.request("GET", "/read/1", &format!("id-{at}"));
            let response = request.body(body.clone()).send().await.unwrap();
            if response.status() != 200 {
                continue;
            }
            assert_eq!(response.headers()["x-id"], format!("id-{at}"));
            assert_eq!(response.text().await.unwrap(), body);
            answered += 1;
        }
        assert!(answered > 0);
    })
    .await;
}

/// Guards against a response without a declared length that is lost or truncated.
#[tokio::test]
async fn response_close_delimited() {
    let upstream = Upstream::start("i1", Behaviour::CloseDelimited).await;
    with_process(&[&upstream], async |harness| {
        let response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(response.text().await.unwrap(), "all of it");
    })
    .await;
}

/// Guards against reusing a connection whose instance still waits for the rest of a body: the next
/// request's bytes would be taken for that body.
#[tokio::test]
async fn response_before_body() {
    let upstream = Upstream::start("i1", Behaviour::EarlyResponse).await;
    with_process(&[&upstream], async |harness| {
        let body = vec![7u8; 300_000];
        let request = harness.request("POST", "/photo/1", "id-1").body(body.clone());
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 413);
        upstream.set_behaviour(Behaviour::Echo);
        let request = harness.request("POST", "/photo/2", "id-2").body(body.clone());
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(response.bytes().await.unwrap().len(), body.len());
    })
    .await;
}

/// Guards against uploads that lose bytes, for bodies that are buffered and bodies that are
/// streamed.
#[tokio::test]
async fn upload_intact() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    with_process(&[&upstream], async |harness| {
        for length in [0, 1, 65_000, 500_000, 900_000] {
            let body: Vec<u8> = (0..length).map(|it| (it % 251) as u8).collect();
            let request = harness.request("POST", "/photo/1", "id-1").body(body.clone());
            let response = request.send().await.unwrap();
            assert_eq!(response.status(), 200, "{length}");
            assert_eq!(response.bytes().await.unwrap(), body, "{length}");
        }
    })
    .await;
}

/// Guards against a body beyond the limit that is forwarded.
#[tokio::test]
async fn upload_too_large() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    with_process(&[&upstream], async |harness| {
        let request = harness.request("POST", "/photo/1", "id-1").body(vec![0; 2 << 20]);
        // The process may close the connection before the caller has sent everything.
        if let Ok(response) = request.send().await {
            assert_eq!(response.status(), 413);
        }
        assert!(upstream.requests().is_empty());
    })
    .await;
}

/// Guards against work that continues after the caller has disconnected.
#[tokio::test]
async fn caller_disconnects() {
    let upstream = Upstream::start("i1", Behaviour::Silent).await;
    with_process(&[&upstream], async |harness| {
        let mut stream = TcpStream::connect(harness.listen.callers).await.unwrap();
        let request = "POST /order/1 HTTP/1.1\r\nhost: host.example\r\nx-id: 1\r\nx-key: good\r\n\
                       content-length: 2\r\n\r\nok";
        stream.write_all(request.as_bytes()).await.unwrap();
        wait_for(async || !upstream.requests().is_empty()).await;
        let disconnected_at = Instant::now();
        drop(stream);
        wait_for(async || upstream.cancelled.load(Ordering::SeqCst) == 1).await;
        assert!(
            disconnected_at.elapsed() < Duration::from_millis(500),
            "{:?}",
            disconnected_at.elapsed()
        );
    })
    .await;
}

/// Guards against requests that are held beyond the timeout of their route.
#[tokio::test]
async fn timeout_of_route() {
    let upstream = Upstream::start("i1", Behaviour::Silent).await;
    with_process(&[&upstream], async |harness| {
        let sent_at = Instant::now();
        let response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
        assert_eq!(response.status(), 504);
        let took = sent_at.elapsed();
        assert!(took >= Duration::from_millis(790), "{took:?}");
        assert!(took < Duration::from_millis(1050), "{took:?}");
        wait_for(async || upstream.cancelled.load(Ordering::SeqCst) == 1).await;
    })
    .await;
}

/// Guards against callers that wait for a silent instance while another instance would answer.
#[tokio::test]
async fn silent_instance() {
    let first = Upstream::start("i1", Behaviour::Silent).await;
    let second = Upstream::start("i2", Behaviour::Echo).await;
    with_process(&[&first, &second], async |harness| {
        for at in 0..20 {
            let request = harness.request("GET", "/read/1", &format!("id-{at}"));
            let request = request.header("x-object", at.to_string());
            assert_eq!(request.send().await.unwrap().status(), 200, "{at}");
        }
    })
    .await;
}

/// Guards against a new connection for every idempotent request, and against a pooled connection
/// for a request that must not be repeated.
#[tokio::test]
async fn connection_reuse() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    with_process(&[&upstream], async |harness| {
        for at in 0..20 {
            harness.request("GET", "/read/1", &format!("id-{at}")).send().await.unwrap();
            sleep(Duration::from_millis(5)).await;
        }
        assert!(upstream.connections.load(Ordering::SeqCst) <= 3);
        let before = upstream.connections.load(Ordering::SeqCst);
        for at in 0..5 {
            harness.request("POST", "/order/1", &format!("id-{at}")).send().await.unwrap();
        }
        assert_eq!(upstream.connections.load(Ordering::SeqCst), before + 5);
    })
    .await;
}

/// Guards against a caller's connection that is lost when a request is refused before the body was
/// read.
#[tokio::test]
async fn refused_upload_keeps_connection() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    with_process(&[&upstream], async |harness| {
        let mut stream = TcpStream::connect(harness.listen.callers).await.unwrap();
        let head = "POST /order/1 HTTP/1.1\r\nhost: host.example\r\nx-id: 1\r\nx-key: bad\r\n\
                    content-length: 200000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![1; 200_000]).await.unwrap();
        let mut buffer = vec![0; 4096];
        let read = stream.read(&mut buffer).await.unwrap();
        assert!(buffer[..read].starts_with(b"HTTP/1.1 401"));
        let next = "GET /read/1 HTTP/1.1\r\nhost: host.example\r\nx-id: 2\r\nx-key: good\r\n\r\n";
        stream.write_all(next.as_bytes()).await.unwrap();
        let read = stream.read(&mut buffer).await.unwrap();
        assert!(buffer[..read].starts_with(b"HTTP/1.1 200"));
    })
    .await;
}

/// Guards against an instance whose headers hold numbers that overflow and end the caller's
/// connection without an answer.
#[tokio::test]
async fn response_extreme_numbers() {
    let headers = [
        "keep-alive: timeout=18446744073709551615\r\n",
        "keep-alive: timeout=9223372036854775807\r\n",
        "x-load: 4294967295,4294967295,4294967295\r\n",
        "x-load: 4294967295,1,0\r\n",
        "x-cold: 18446744073709551615\r\n",
    ];
    for it in headers {
        let upstream = Upstream::start("i1", Behaviour::OkWith(it)).await;
        with_process(&[&upstream], async |harness| {
            for at in 0..2 {
                let response = harness.request("GET", "/read/1", &format!("id-{at}")).send().await;
                assert!(response.is_ok(), "{it}: {response:?}");
            }
        })
        .await;
    }
}

/// Guards against a request without an id that gets an earlier response which the instance sends
/// once more.
#[tokio::test]
async fn request_without_id_response_duplicated_late() {
    let upstream = Upstream::start("i1", Behaviour::LateDuplicate).await;
    with_process(&[&upstream], async |harness| {
        let url = format!("http://{}/read/1", harness.listen.callers);
        for at in 0..20 {
            let first = harness.request("GET", "/read/1", &format!("id-{at}")).body("other");
            first.send().await.unwrap();
            let body = format!("own-{at}");
            let request = harness.client.get(&url).header("host", "host.example");
            let response = request.header("x-key", "good").body(body.clone()).send().await.unwrap();
            if response.status() == 200 {
                assert_eq!(response.text().await.unwrap(), body);
            }
        }
    })
    .await;
}

/// Guards against responses that two readers would understand differently, when they are forwarded
/// as if they were valid: two ids, a second encoding, bytes of another protocol.
#[tokio::test]
async fn response_ambiguous() {
    let responses = [
        Behaviour::OkWith("x-id: other\r\n"),
        Behaviour::OkWith("content-encoding: identity\r\ncontent-encoding: gzip\r\n"),
        Behaviour::OkWith("transfer-encoding: gzip, chunked\r\n"),
        Behaviour::Status("101 Other\r\nx-seal: s\r\nconnection: upgrade\r\nupgrade: other\r\n"),
    ];
    for it in responses {
        let upstream = Upstream::start("i1", it).await;
        with_process(&[&upstream], async |harness| {
            // The body is echoed, and is valid in chunks too.
            let request = harness.request("POST", "/order/1", "id-1").body("1\r\nx\r\n0\r\n\r\n");
            let response = request.send().await.unwrap();
            assert_eq!(response.status(), 502, "{it:?}");
            assert_eq!(response.headers()["kingcupford-outcome"], "unknown", "{it:?}");
            harness.request("GET", "/read/1", "id-2").send().await.unwrap();
        })
        .await;
    }
}

/// Guards against a large response that breaks off and looks complete to a caller that knows no
/// chunks: its only sign is how the connection ends.
#[tokio::test]
async fn response_breaks_off_http_1_0() {
    let upstream = Upstream::start("i1", Behaviour::LargeTruncated).await;
    with_process(&[&upstream], async |harness| {
        for version in ["1.0", "1.1"] {
            let mut stream = TcpStream::connect(harness.listen.callers).await.unwrap();
            let request = format!(
                "POST /order/1 HTTP/{version}\r\nhost: host.example\r\nx-id: 1\r\nx-key: good\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut received = Vec::new();
            let res = stream.read_to_end(&mut received).await;
            let is_complete = res.is_ok() && (version == "1.0" || received.ends_with(b"0\r\n\r\n"));
            assert!(!is_complete, "HTTP/{version}: {} bytes", received.len());
        }
    })
    .await;
}

/// Guards against a request that ends at an instance which has the address of another one: status
/// 421 alone states that the request did not run.
#[tokio::test]
async fn misdirected_without_header() {
    let first = Upstream::start("i1", Behaviour::Status("421 No\r\n")).await;
    with_process(&[&first], async |harness| {
        let response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["kingcupford-outcome"], "not-run");
        let second = Upstream::start("i2", Behaviour::Echo).await;
        harness.register(&second);
        wait_for(async || {
            let response = harness.request("POST", "/order/1", "id-2").send().await.unwrap();
            response.status() == 200
        })
        .await;
    })
    .await;
}

/// Guards against an instance's own status that the caller would take for the statement that the
/// request did not run: only the header states that.
#[tokio::test]
async fn response_status_is_no_promise() {
    let statuses = [
        "503 Busy\r\n",
        "503 Busy\r\nx-seal: s\r\n",
        "429 Slow\r\n",
        "429 Slow\r\nx-seal: s\r\n",
        "408 Late\r\n",
        "408 Late\r\nx-seal: s\r\n",
    ];
    for it in statuses {
        let upstream = Upstream::start("i1", Behaviour::Status(it)).await;
        with_process(&[&upstream], async |harness| {
            let response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
            assert_eq!(response.status(), 502, "{it}");
            assert_eq!(response.headers()["kingcupford-outcome"], "unknown", "{it}");
            assert!(!response.headers().contains_key("x-seal"), "{it}");
            assert_eq!(upstream.requests().len(), 1, "{it}");
            // A request that may run again gets what the instance sealed.
            let response = harness.request("GET", "/read/1", "id-2").send().await.unwrap();
            let is_sealed = it.contains("x-seal");
            let expected = if is_sealed { &it[..3] } else { "502" };
            assert_eq!(response.status().as_str(), expected, "{it}");
            assert_eq!(response.headers().contains_key("x-seal"), is_sealed, "{it}");
        })
        .await;
    }
}

/// Guards against malformed requests of one caller that are sent to every instance, and that count
/// as failures of the instances which reject them.
#[tokio::test]
async fn request_rejected_by_instance() {
    let rejected = Behaviour::Status("400 No\r\nx-not-run: 1\r\n");
    let first = Upstream::start("i1", rejected).await;
    let second = Upstream::start("i2", rejected).await;
    with_process(&[&first, &second], async |harness| {
        let url = format!("http://{}/order/1", harness.listen.callers);
        for at in 1..=30 {
            let request = harness.client.post(&url).header("host", "host.example");
            let response = request.header("x-key", "good").send().await.unwrap();
            assert_eq!(response.status(), 400, "{at}");
            assert_eq!(first.requests().len() + second.requests().len(), at);
        }
        first.set_behaviour(Behaviour::Echo);
        second.set_behaviour(Behaviour::Echo);
        for at in 0..10 {
            let id = format!("id-{at}");
            let response = harness.request("POST", "/order/1", &id).send().await.unwrap();
            assert_eq!(response.status(), 200, "{at}");
        }
    })
    .await;
}

/// Guards against a request that an instance rejected from its queue, and that the caller cannot
/// repeat because it is called one that may have run.
#[tokio::test]
async fn refusal_late_not_run() {
    let first = Upstream::start("i1", Behaviour::ShedLate).await;
    with_process(&[&first], async |harness| {
        let response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["kingcupford-outcome"], "not-run");
        let second = Upstream::start("i2", Behaviour::Echo).await;
        harness.register(&second);
        for at in 0..6 {
            let id = format!("id-{at}");
            let response = harness.request("POST", "/order/1", &id).send().await.unwrap();
            assert!([200, 503].contains(&response.status().as_u16()), "{at}: {response:?}");
        }
        assert!(!second.requests().is_empty());
    })
    .await;
}

/// Guards against a body without end that keeps a caller, or a caller's connection, for ever. The
/// route's timeout is 800 ms.
#[tokio::test]
async fn body_without_end_timeout() {
    for caller_reads in [true, false] {
        let upstream = Upstream::start("i1", Behaviour::Endless(EndlessPart::Body)).await;
        with_process(&[&upstream], async |harness| {
            let mut stream = TcpStream::connect(harness.listen.callers).await.unwrap();
            let request = "POST /order/1 HTTP/1.1\r\nhost: host.example\r\nx-id: 1\r\n\
                           x-key: good\r\n\r\n";
            stream.write_all(request.as_bytes()).await.unwrap();
            let sent_at = Instant::now();
            let mut received = vec![0; 65_536];
            let mut end = Ok(1);
            while caller_reads
                && matches!(end, Ok(1..))
                && sent_at.elapsed() < Duration::from_secs(3)
            {
                end = timeout(Duration::from_secs(2), stream.read(&mut received)).await.unwrap();
            }
            if caller_reads {
                assert!(end.is_err(), "{end:?} after {:?}", sent_at.elapsed());
            }
            wait_for(async || upstream.cancelled.load(Ordering::SeqCst) == 1).await;
            let took = sent_at.elapsed();
            assert!(took > Duration::from_millis(790), "{took:?}");
            assert!(took < Duration::from_millis(1300), "{took:?}");
            if !caller_reads {
                // Socket buffers hold most of it.
                let sent_bytes = upstream.endless_bytes.load(Ordering::SeqCst);
                assert!(sent_bytes < 32 << 20, "{sent_bytes}");
            }
        })
        .await;
    }
}

/// Guards against a caller that waits beyond the timeout of the route while the process checks
/// whether an instance that broke a connection has crashed. The timeout is 800 ms.
#[tokio::test]
async fn timeout_of_route_during_crash_check() {
    with_process(&[], async |harness| {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let instance = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let read = stream.read(&mut [0; 4096]).await.unwrap();
            assert!(read > 0);
            sleep(Duration::from_millis(700)).await;
            // With a full queue the kernel does not answer further connections.
            let mut queued = Vec::new();
            for _ in 0..3 {
                let connecting = TcpStream::connect(address);
                queued.push(timeout(Duration::from_millis(20), connecting).await);
            }
            drop(stream);
            sleep(Duration::from_secs(5)).await;
            drop((listener, queued));
        });
        harness.store.put("servers/i1", &format!("{address} ready"));
        sleep(Duration::from_millis(300)).await;
        let sent_at = Instant::now();
        let response = harness.request("POST", "/order/1", "id-1").send().await.unwrap();
        let took = sent_at.elapsed();
        assert!([502, 504].contains(&response.status().as_u16()), "{response:?}");
        assert_eq!(response.headers()["kingcupford-outcome"], "unknown");
        assert!(took > Duration::from_millis(700), "{took:?}");
        assert!(took < Duration::from_millis(1050), "{took:?}");
        instance.abort();
    })
    .await;
}

/// Guards against a complete response that looks cut to a caller that knows no chunks.
#[tokio::test]
async fn response_complete_http_1_0() {
    let upstream = Upstream::start("i1", Behaviour::Large).await;
    with_process(&[&upstream], async |harness| {
        for at in 0..10 {
            let mut stream = TcpStream::connect(harness.listen.callers).await.unwrap();
            let request = format!(
                "POST /order/1 HTTP/1.0\r\nhost: host.example\r\nx-id: {at}\r\nx-key: good\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut received = Vec::new();
            stream.read_to_end(&mut received).await.unwrap();
            let head_length = received.windows(4).position(|it| it == b"\r\n\r\n").unwrap() + 4;
            assert_eq!(received.len() - head_length, 512 << 10);
        }
    })
    .await;
}
