//! Tests of lookups, readiness and metrics.

use std::{sync::Arc, time::Duration};

use kingcupford_steer::{
    Heartbeat, HostState, PROTOCOL_VERSION, RolloutTally, ServiceLoad, TeamDemand, name_hash,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
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

/// Guards against a damaged heartbeat that ends the process or its reception of heartbeats.
#[tokio::test]
async fn heartbeats_damaged() {
    with_process(&[], async |harness| {
        let listen = harness.listen;
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let entry = serde_json::json!({
            "name": "damaged", "zone": "z1", "peer_address": socket.local_addr().unwrap(),
            "public_addresses": [socket.local_addr().unwrap()], "state": "live",
        });
        harness.store.put("hosts/damaged", &entry.to_string());
        let mut rng = SmallRng::seed_from_u64(22);
        for sequence in 1..=4000 {
            let heartbeat = Heartbeat {
                protocol_version: PROTOCOL_VERSION,
                sender: "damaged".to_owned(),
                incarnation: 1,
                sequence,
                ack: None,
                state: HostState::Serving,
                link_mbps: 100,
                manifest_version: 1,
                view_age_ms: Some(10),
                platform_age_ms: Some(10),
                team_demand: vec![TeamDemand {
                    team_hash: name_hash("acme"),
                    requests_per_16_s: 160,
                    claimed_per_16_s: 160,
                    admitted: 10,
                }],
                service_loads: vec![ServiceLoad {
                    service_hash: name_hash("svc"),
                    utilization: 0.5,
                    shift_share: Some(0.1),
                }],
                rollout_tallies: vec![RolloutTally::default()],
                quarantine_updates: Vec::new(),
            };
            let mut bytes =
                bincode::encode_to_vec(&heartbeat, bincode::config::standard()).unwrap();
            for _ in 0..rng.random_range(1..=4) {
                let at = rng.random_range(0..bytes.len());
                match rng.random_range(0..4) {
                    0 => bytes.truncate(at + 1),
                    1 => bytes.insert(at, rng.random()),
                    2 => bytes[at] = *[0, 250, 251, 252, 253, 255].choose(&mut rng).unwrap(),
                    _ => bytes[at] = rng.random(),
                }
            }
            socket.send_to(&bytes, listen.peers).await.unwrap();
            if sequence % 20 == 0 {
                sleep(Duration::from_millis(1)).await;
            }
        }
        let other = listen_addresses();
        spawn_process("n2", other, &harness.store);
        let url = format!("http://{}/v1/lookup?zone=z1", listen.lookup);
        wait_for(async || {
            let Ok(response) = harness.client.get(&url).send().await else { return false };
            response.text().await.unwrap_or_default().contains(&other.callers.to_string())
        })
        .await;
    })
    .await;
}
