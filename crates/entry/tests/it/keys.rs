//! Keys of callers: revocation on open connections, keys of other teams and malformed headers.

use std::time::Duration;

use anyhow::ensure;
use kingcupford_platform::ChangeOutcome;
use kingcupford_standin::PlatformFaults;
use serde_json::Value;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::support::{TestFleet, exchange, run_test, settings};

/// Time within which every host must refuse a revoked key, as for every change of the
/// configuration.
const REVOCATION_LIMIT: Duration = Duration::from_secs(6);

/// Guards against a revoked key that continues to work on an open connection.
#[test]
fn revoked_key_platform_available() {
    run_test(check_revocation(PlatformFaults::default()));
}

/// Guards against a revocation that a slow platform delays beyond [`REVOCATION_LIMIT`].
#[test]
fn revoked_key_platform_slow() {
    run_test(check_revocation(PlatformFaults { delay_ms: 500, ..PlatformFaults::default() }));
}

/// Guards against a revocation that is lost because the platform's response to the write is lost.
#[test]
fn revoked_key_write_response_lost() {
    let faults = PlatformFaults { lose_write_answer_fraction: 1.0, ..PlatformFaults::default() };
    run_test(check_revocation(faults));
}

/// Revokes a key that is in use on one connection to each host, and checks that every host refuses
/// it in time and does not accept it again.
async fn check_revocation(faults: PlatformFaults) -> anyhow::Result<()> {
    let fleet = TestFleet::start(settings(4, &["fukuoka-a"], 16)).await?;
    let key = fleet.issue_key("k", "school-1").await?;
    let other_key = fleet.issue_key("other", "school-1").await?;
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
    let revoked_at = Instant::now();
    while connections.iter().any(|it| !it.1) {
        for (stream, was_refused) in &mut connections {
            let (status, _) = exchange(stream, &head(&key)).await?;
            ensure!(!*was_refused || status == 401, "a revoked key works again: {status}");
            *was_refused |= status == 401;
        }
        ensure!(
            revoked_at.elapsed() < REVOCATION_LIMIT,
            "the revoked key still works after {REVOCATION_LIMIT:?}"
        );
        sleep(Duration::from_millis(20)).await;
    }
    println!("the key was refused everywhere {:?} after the revocation", revoked_at.elapsed());
    for (stream, _) in &mut connections {
        ensure!(exchange(stream, &head(&key)).await?.0 == 401, "a revoked key works again");
        ensure!(exchange(stream, &head(&other_key)).await?.0 != 401, "another key was refused");
    }
    Ok(())
}

/// Guards against requests that run for a team other than the owner of the key, and against keys
/// that combine parts of two keys.
#[test]
fn key_of_other_team() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, &["fukuoka-a"], 16)).await?;
        let first = fleet.issue_key("first", "school-1").await?;
        let second = fleet.issue_key("second", "school-2").await?;
        let read = fleet.get(0, "/ledger-view/a", &second).header("kingcupford-tenant", "school-1");
        let report: Value = read.send().await?.json().await?;
        assert_eq!(report["tenant"], "school-2");
        // A key has the form `kc_<id>_<secret>`; this one has the id of one key and the secret of
        // the other.
        let secret = second.rsplit('_').next().unwrap_or_default();
        let combined = format!("Bearer kc_first_{secret}");
        assert_ne!(combined, first);
        assert_eq!(fleet.get(0, "/ledger-view/a", &combined).send().await?.status(), 401);
        // Request ids are scoped by team, so this id of another team names another request.
        let id = format!("{}.same", fleet.binding(0, &first).await?);
        assert_eq!(fleet.deposit(0, &first, &id, "first").send().await?.status(), 200);
        assert_eq!(fleet.deposit(0, &second, &id, "second").send().await?.status(), 200);
        for (tag, team) in [("first", "school-1"), ("second", "school-2")] {
            let executions = fleet.executions(tag);
            assert_eq!(executions.len(), 1);
            assert_eq!(executions[0].team.as_deref(), Some(team));
        }
        Ok(())
    });
}

/// Guards against keys that are accepted in a malformed header, and against several `authorization`
/// headers of which one is accepted.
#[test]
fn authorization_malformed() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, &["fukuoka-a"], 16)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
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
