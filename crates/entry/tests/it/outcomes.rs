//! Outcomes reported to callers, compared with what upstreams executed.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use kingcupford_config::Declarations;
use kingcupford_standin::UpstreamFaults;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::support::{
    RawUpstream, TestFleet, read_head, read_outcome, run_test, set_instance_addresses, settings,
    wait_until,
};

/// The only site that has upstreams.
const SITE: &[&str] = &["fukuoka-a"];

/// Guards against `unknown` or `executed` for a request that every upstream shed, and against
/// `not-run` for one that ran.
#[test]
fn outcome_shed_by_upstream() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, SITE, 8)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        for upstream in &fleet.deployment.upstreams {
            upstream.set_faults(UpstreamFaults { shedding: true, ..UpstreamFaults::default() });
        }
        let read = fleet.get(0, "/ledger-view/a", &key).header("x-request-tag", "read");
        let (status, outcome, _) = read_outcome(read.send().await?).await?;
        assert_eq!((status, outcome.as_str()), (503, "not-run"));
        let id = format!("{binding}.shed");
        let (status, outcome, _) =
            read_outcome(fleet.deposit(0, &key, &id, "shed").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (503, "not-run"));
        assert!(fleet.executions("read").is_empty() && fleet.executions("shed").is_empty());

        // The outcome `not-run` allows the caller to repeat the request with the same id.
        for upstream in &fleet.deployment.upstreams {
            upstream.set_faults(UpstreamFaults::default());
        }
        wait_until("the repeated request is executed", Duration::from_secs(10), || async {
            let response = fleet.deposit(0, &key, &id, "shed").send().await;
            response.is_ok_and(|it| it.status() == 200)
        })
        .await?;
        assert_eq!(fleet.executions("shed").len(), 1);
        Ok(())
    });
}

/// Guards against `unknown` when no connection to an upstream could be opened.
#[test]
fn outcome_connection_refused() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, SITE, 8)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        for upstream in &fleet.deployment.upstreams {
            upstream.crash(Duration::from_secs(60));
        }
        // While the listener closes, a connection may be accepted and break instead of being
        // refused.
        wait_until("connections are refused", Duration::from_secs(10), || async {
            let connections =
                fleet.deployment.upstreams.iter().map(|it| TcpStream::connect(it.address()));
            futures_util::future::join_all(connections).await.iter().all(Result::is_err)
        })
        .await?;
        for attempt in 0..3 {
            let read = fleet.get(0, "/ledger-view/a", &key).send().await?;
            let (_, outcome, _) = read_outcome(read).await?;
            assert_eq!(outcome, "not-run", "read {attempt}");
            let id = format!("{binding}.{attempt}");
            let deposit = fleet.deposit(0, &key, &id, "refused").send().await?;
            let (_, outcome, _) = read_outcome(deposit).await?;
            assert_eq!(outcome, "not-run", "deposit {attempt}");
        }
        assert!(fleet.executions("refused").is_empty());
        Ok(())
    });
}

/// Guards against a repeated deposit or a wrong `not-run` when the connection breaks before the
/// response, at which point the deposit may have run.
#[test]
fn outcome_broken_before_response() {
    run_test(async {
        // This upstream reads the whole request and closes the connection without a response.
        let raw = RawUpstream::start(|mut stream, _| async move {
            let mut body = [0; 11];
            let _ = stream.read_exact(&mut body).await;
        })
        .await?;
        let change = |it: &mut _| set_instance_addresses(it, "deposit-desk", raw.address);
        let fleet = TestFleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let id = format!("{binding}.1");
        let (status, outcome, _) =
            read_outcome(fleet.deposit(0, &key, &id, "x").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (502, "unknown"));
        assert_eq!(raw.received_count(), 1);
        let (status, outcome, reason) =
            read_outcome(fleet.deposit(0, &key, &id, "x").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (409, "unknown"));
        assert_eq!(reason, "request-id-unknown");
        assert_eq!(raw.received_count(), 1);
        Ok(())
    });
}

/// Guards against a response that looks complete when the connection to the upstream broke during
/// it, and against a second run of a deposit whose response was lost that way.
#[test]
fn outcome_broken_during_response() {
    run_test(async {
        let raw = RawUpstream::start(|mut stream, _| async move {
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part";
            let _ = stream.write_all(response).await;
            let _ = stream.flush().await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        })
        .await?;
        let change = |it: &mut _| {
            set_instance_addresses(it, "deposit-desk", raw.address);
            set_instance_addresses(it, "ledger-view", raw.address);
        };
        let fleet = TestFleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let read = fleet.get(0, "/ledger-view/a", &key).send().await?;
        assert!(read.bytes().await.is_err(), "a cut response looks whole");
        let id = format!("{binding}.1");
        let deposit = fleet.deposit(0, &key, &id, "x").send().await?;
        assert!(deposit.bytes().await.is_err(), "a cut response looks whole");
        let received = raw.received_count();
        let (status, outcome, _) =
            read_outcome(fleet.deposit(0, &key, &id, "x").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (409, "executed"));
        assert_eq!(raw.received_count(), received);
        Ok(())
    });
}

/// Guards against `not-run` for a request that timed out at the upstream, and against a second run
/// of that request.
#[test]
fn outcome_timeout() {
    run_test(async {
        let mut slow = settings(1, SITE, 8);
        slow.upstreams.iter_mut().for_each(|it| it.service_time_ms = 20_000.0);
        let fleet = TestFleet::start(slow).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let id = format!("{binding}.1");
        let deposit = || {
            let request = fleet.deposit(0, &key, &id, "late");
            request.header("kingcupford-deadline-ms", "400")
        };
        let (status, outcome, _) = read_outcome(deposit().send().await?).await?;
        assert_eq!((status, outcome.as_str()), (504, "unknown"));
        let (status, outcome, _) = read_outcome(deposit().send().await?).await?;
        assert_eq!((status, outcome.as_str()), (409, "unknown"));
        let read = fleet.get(0, "/ledger-view/a", &key).header("kingcupford-deadline-ms", "400");
        let (status, outcome, _) = read_outcome(read.send().await?).await?;
        assert_eq!((status, outcome.as_str()), (504, "unknown"));
        assert_eq!(fleet.executions("late").len(), 1);
        Ok(())
    });
}

/// Guards against a second run of a deposit that the caller repeats while the first one still runs,
/// at another host, and after the host was killed and restarted.
#[test]
fn at_most_once_repeats() {
    run_test(async {
        let mut slow = settings(2, SITE, 8);
        slow.upstreams.iter_mut().for_each(|it| it.service_time_ms = 800.0);
        let mut fleet = TestFleet::start(slow).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;

        let id = format!("{binding}.done");
        let first = tokio::spawn(fleet.deposit(0, &key, &id, "done").send());
        wait_until("the first deposit is executed", Duration::from_secs(10), || async {
            fleet.executions("done").len() == 1
        })
        .await?;
        let (status, outcome, reason) =
            read_outcome(fleet.deposit(0, &key, &id, "done").send().await?).await?;
        assert_eq!(
            (status, outcome.as_str(), reason.as_str()),
            (409, "unknown", "request-id-running")
        );
        let (status, outcome, reason) =
            read_outcome(fleet.deposit(1, &key, &id, "done").send().await?).await?;
        assert_eq!(
            (status, outcome.as_str(), reason.as_str()),
            (421, "unknown", "request-id-elsewhere")
        );
        assert_eq!(first.await??.status(), 200);
        let (status, outcome, _) =
            read_outcome(fleet.deposit(0, &key, &id, "done").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (409, "executed"));

        let id = format!("{binding}.killed");
        let first = tokio::spawn(fleet.deposit(0, &key, &id, "killed").send());
        wait_until("the first deposit is executed", Duration::from_secs(10), || async {
            fleet.executions("killed").len() == 1
        })
        .await?;
        fleet.hosts[0].take().expect("the host is running").kill();
        assert!(first.await?.is_err());
        let (status, outcome, _) =
            read_outcome(fleet.deposit(1, &key, &id, "killed").send().await?).await?;
        assert_ne!(status, 200);
        assert_eq!(outcome, "unknown");
        fleet.start_host(0)?;
        fleet.wait_until_settled(2).await?;
        let (status, outcome, _) =
            read_outcome(fleet.deposit(0, &key, &id, "killed").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (410, "unknown"));
        for tag in ["done", "killed"] {
            assert_eq!(fleet.executions(tag).len(), 1, "{tag}");
        }
        Ok(())
    });
}

/// Guards against `not-run` for a request whose first attempt broke after bytes were sent and whose
/// second attempt was shed, when the body can no longer be replayed for a third one.
#[test]
fn outcome_broken_then_shed() {
    run_test(async {
        let attempts = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&attempts);
        let raw = RawUpstream::start(move |mut stream, _| {
            let is_first = counter.fetch_add(1, Ordering::SeqCst) == 0;
            async move {
                let mut body = [0; 1000];
                let _ = stream.read_exact(&mut body).await;
                if is_first {
                    return;
                }
                let mut rest = vec![0; 64 * 1024];
                let _ = stream.read_exact(&mut rest).await;
                let shed = "HTTP/1.1 503 Service Unavailable\r\nkingcupford-outcome: not-run\r\n\
                            content-length: 0\r\n\r\n";
                let _ = stream.write_all(shed.as_bytes()).await;
                tokio::time::sleep(Duration::from_secs(5)).await;
            }
        })
        .await?;
        let change = |it: &mut Declarations| {
            set_instance_addresses(it, "photo-drop", raw.address);
            let mut services = it.services.iter_mut().filter(|it| it.name == "photo-drop");
            services.next().expect("the service is declared").routes[0].idempotent = true;
        };
        let fleet =
            TestFleet::start_with(settings(1, &["fukuoka-a", "fukuoka-b"], 8), change).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let mut caller = TcpStream::connect(fleet.host(0).caller).await?;
        let head = format!(
            "POST /photo-drop/a HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n\
             content-length: 100000\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await?;
        caller.write_all(&[b'x'; 1000]).await?;
        let limit = Duration::from_secs(10);
        wait_until("the second attempt arrives", limit, || async { raw.received_count() == 2 })
            .await?;
        caller.write_all(&[b'x'; 70_000]).await?;
        let response = read_head(&mut caller).await.expect("the host responds");
        assert!(response.contains("kingcupford-outcome: unknown"), "{response}");
        Ok(())
    });
}
