//! Keys of callers: revocation on open connections, other tenants, malformed headers.

use std::time::Duration;

use anyhow::ensure;
use kingcupford_platform::ChangeOutcome;
use kingcupford_standin::PlatformFaults;
use serde_json::Value;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::support::{Fleet, exchange, run, settings};

/// Time within which a revoked key stops everywhere, as for every change of the configuration.
const REVOKED_WITHIN: Duration = Duration::from_secs(6);

/// Guards against a revoked key that goes on working on an open connection.
#[test]
fn revoked_key_platform_well() {
    run(check_revoked(PlatformFaults::default()));
}

/// Guards against a revocation that a slow platform delays for more than seconds.
#[test]
fn revoked_key_platform_slow() {
    run(check_revoked(PlatformFaults { delay_ms: 500, ..PlatformFaults::default() }));
}

/// Guards against a revocation that is lost when the answer of its write is.
#[test]
fn revoked_key_answer_lost() {
    let faults = PlatformFaults { lose_write_answer_fraction: 1.0, ..PlatformFaults::default() };
    run(check_revoked(faults));
}

/// Revokes a key that is in use on one connection to each host.
async fn check_revoked(faults: PlatformFaults) -> anyhow::Result<()> {
    let fleet = Fleet::start(settings(4, &["fukuoka-a"], 16)).await?;
    let key = fleet.key("k", "school-1").await?;
    let other = fleet.key("other", "school-1").await?;
    let head = |key: &str| {
        format!("GET /ledger-view/a HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n\r\n")
    };
    let mut connections = Vec::new();
    for host in fleet.hosts.iter().flatten() {
        let mut stream = TcpStream::connect(host.caller).await?;
        while exchange(&mut stream, &head(&key)).await?.0 == 429 {
            sleep(Duration::from_millis(50)).await;
        }
        connections.push((stream, false));
    }
    fleet.deployment.platform.set_faults(faults);
    let revoked = fleet.deployment.config.revoke_key("k", "revoke-k").await;
    ensure!(matches!(revoked, ChangeOutcome::Applied { .. }), "{revoked:?}");
    let accepted = Instant::now();
    while connections.iter().any(|it| !it.1) {
        for (stream, was_refused) in &mut connections {
            let (status, _) = exchange(stream, &head(&key)).await?;
            ensure!(!*was_refused || status == 401, "a revoked key works again: {status}");
            *was_refused |= status == 401;
        }
        ensure!(accepted.elapsed() < REVOKED_WITHIN, "the key works on");
        sleep(Duration::from_millis(20)).await;
    }
    println!("the key was refused everywhere {:?} after the revocation", accepted.elapsed());
    for (stream, _) in &mut connections {
        ensure!(exchange(stream, &head(&key)).await?.0 == 401, "a revoked key works again");
        ensure!(exchange(stream, &head(&other)).await?.0 != 401, "another key was refused");
    }
    Ok(())
}

/// Guards against requests that run for another tenant than the one whose key came with them, and
/// against keys put together from two.
#[test]
fn key_of_other_tenant() {
    run(async {
        let fleet = Fleet::start(settings(1, &["fukuoka-a"], 16)).await?;
        let first = fleet.key("first", "school-1").await?;
        let second = fleet.key("second", "school-2").await?;
        let read = fleet.get(0, "/ledger-view/a", &second).header("kingcupford-tenant", "school-1");
        let report: Value = read.send().await?.json().await?;
        assert_eq!(report["tenant"], "school-2");
        // `kc_<id>_<secret>` with the id of one key and the secret of the other.
        let secret = second.rsplit('_').next().unwrap_or_default();
        let mixed = format!("Bearer kc_first_{secret}");
        assert_ne!(mixed, first);
        assert_eq!(fleet.get(0, "/ledger-view/a", &mixed).send().await?.status(), 401);
        // The same request id of another tenant is another request.
        let id = format!("{}.same", fleet.binding(0, &first).await?);
        assert_eq!(fleet.deposit(0, &first, &id, "first").send().await?.status(), 200);
        assert_eq!(fleet.deposit(0, &second, &id, "second").send().await?.status(), 200);
        for (tag, tenant) in [("first", "school-1"), ("second", "school-2")] {
            let ran = fleet.executions(tag);
            assert_eq!(ran.len(), 1);
            assert_eq!(ran[0].tenant.as_deref(), Some(tenant));
        }
        Ok(())
    });
}

/// Guards against keys that are accepted in another form, or that one of several headers decides.
#[test]
fn authorization_malformed() {
    run(async {
        let fleet = Fleet::start(settings(1, &["fukuoka-a"], 16)).await?;
        let key = fleet.key("k", "school-1").await?;
        let secret = key.trim_start_matches("Bearer ").to_owned();
        let line = |it: &str| format!("authorization: {it}\r\n");
        for headers in [
            String::new(),
            line(""),
            line("Bearer"),
            line("Bearer "),
            line(&secret),
            line(&format!("Basic {secret}")),
            line(&format!("Bearer {secret}x")),
            line(&format!("Bearer {}", &secret[..secret.len() - 1])),
            line(&format!("Bearer {secret}, {key}")),
            line(&format!("Bearer {}", secret.to_uppercase())),
            line("Bearer kc_k_"),
            line("Bearer kc__"),
            line(&format!("Bearer {}", "k".repeat(10_000))),
            line(&key) + &line(&key),
            line("Bearer x") + &line(&key),
            line(&key) + &line("Bearer x"),
        ] {
            let mut stream = TcpStream::connect(fleet.host(0).caller).await?;
            let head = format!("GET /ledger-view/a HTTP/1.1\r\nhost: x\r\n{headers}\r\n");
            let (status, body) = exchange(&mut stream, &head).await?;
            ensure!(status == 401, "{headers:?}: {status} {body}");
            ensure!(body.contains("\"not-run\""), "{headers:?}: {body}");
        }
        let started: u64 = fleet.deployment.upstreams.iter().map(|it| it.counts().started).sum();
        assert_eq!(started, 0);
        Ok(())
    });
}
