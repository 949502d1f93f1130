//! Tests of lookups, readiness and metrics.

use std::{sync::Arc, time::Duration};

use kingcupford_steer::PROTOCOL_VERSION;
use reqwest::Client;
use tokio::{net::UdpSocket, task::LocalSet, time::sleep};

use crate::{
    harness::{Harness, MemoryStore, listen_addresses, spawn_process, wait_for, with_process},
    upstream::{Behaviour, Upstream},
};

/// Guards against a lookup response without an address, or with a time to live that outlasts a
/// shutdown.
#[tokio::test]
async fn lookup_response() {
    with_process(&[], async |harness| {
        let url = format!("http://{}/v1/lookup?name=h&region=r&zone=z1", harness.listen.lookup);
        let text = harness.client.get(url).send().await.unwrap().text().await.unwrap();
        let response: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert_eq!(response["addresses"][0], harness.listen.callers.to_string());
        assert_eq!(response["ttl_s"], 1.0);
    })
    .await;
}

/// Guards against hosts that do not find each other through the platform.
#[tokio::test]
async fn lookup_all_hosts() {
    LocalSet::new()
        .run_until(async {
            let store = Arc::new(MemoryStore::default());
            store.put("config/main", "1 good");
            let client = Client::builder().no_proxy().build().unwrap();
            let hosts: Vec<Harness> = ["n1", "n2", "n3"]
                .into_iter()
                .map(|name| {
                    let listen = listen_addresses();
                    spawn_process(name, listen, &store);
                    Harness { store: Arc::clone(&store), listen, client: client.clone() }
                })
                .collect();
            let url = format!("http://{}/v1/lookup?zone=z1", hosts[0].listen.lookup);
            wait_for(async || {
                let Ok(response) = client.get(&url).send().await else { return false };
                let text = response.text().await.unwrap_or_default();
                hosts.iter().all(|it| text.contains(&it.listen.callers.to_string()))
            })
            .await;
        })
        .await;
}

/// Guards against a process that reports readiness before it has a manifest to decide requests.
#[tokio::test]
async fn readiness_without_manifest() {
    LocalSet::new()
        .run_until(async {
            let store = Arc::new(MemoryStore::default());
            let listen = listen_addresses();
            spawn_process("own", listen, &store);
            let client = Client::builder().no_proxy().build().unwrap();
            let harness = Harness { store, listen, client };
            harness.wait_for_status("/read/1", 503).await;
            let url = format!("http://{}/readyz", listen.readiness);
            sleep(Duration::from_millis(300)).await;
            assert_eq!(harness.client.get(&url).send().await.unwrap().status(), 503);
            harness.store.put("config/main", "1 good");
            harness.wait_until_ready().await;
        })
        .await;
}

/// Guards against request outcomes that are missing from the metrics.
#[tokio::test]
async fn metrics_outcomes() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    with_process(&[&upstream], async |harness| {
        harness.wait_for_status("/read/1", 200).await;
        harness.request("GET", "/nowhere/", "id").send().await.unwrap();
        let url = format!("http://{}/metrics", harness.listen.metrics);
        let text = harness.client.get(url).send().await.unwrap().text().await.unwrap();
        assert!(text.contains(r#"outcome="executed""#), "{text}");
        assert!(text.contains(r#"reason="unknown-route""#), "{text}");
        assert!(text.contains("kingcupford_latency_seconds_bucket"), "{text}");
        assert!(text.contains("kingcupford_instances 1"), "{text}");
    })
    .await;
}

/// Guards against a datagram that declares a length which no datagram can have, and ends the
/// process or its reception of heartbeats.
#[tokio::test]
async fn heartbeat_with_impossible_length() {
    LocalSet::new()
        .run_until(async {
            let store = Arc::new(MemoryStore::default());
            store.put("config/main", "1 good");
            let client = Client::builder().no_proxy().build().unwrap();
            let listen = listen_addresses();
            spawn_process("n1", listen, &store);
            let harness = Harness { store: Arc::clone(&store), listen, client: client.clone() };
            harness.wait_until_ready().await;
            let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            // The version, then the marker of an 8-byte length of the sender's name.
            for length in [1u64 << 34, 1 << 62, u64::MAX] {
                let mut datagram = vec![PROTOCOL_VERSION as u8, 253];
                datagram.extend_from_slice(&length.to_le_bytes());
                datagram.extend_from_slice(b"name");
                socket.send_to(&datagram, listen.peers).await.unwrap();
            }
            sleep(Duration::from_millis(100)).await;
            let other = listen_addresses();
            spawn_process("n2", other, &store);
            let url = format!("http://{}/v1/lookup?zone=z1", listen.lookup);
            wait_for(async || {
                let Ok(response) = client.get(&url).send().await else { return false };
                response.text().await.unwrap_or_default().contains(&other.callers.to_string())
            })
            .await;
        })
        .await;
}
