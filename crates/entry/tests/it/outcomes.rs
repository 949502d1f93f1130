//! What callers are told against what upstreams ran.

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

use crate::support::{Fleet, RawUpstream, read_head, redirect, run, settings, told, wait_until};

/// The only site with upstreams.
const SITE: &[&str] = &["fukuoka-a"];

/// Guards against `unknown` or `executed` for a request that every upstream shed, and against
/// `not-run` for one that ran.
#[test]
fn outcome_shed_by_upstream() {
    run(async {
        let fleet = Fleet::start(settings(1, SITE, 8)).await?;
        let key = fleet.key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        for upstream in &fleet.deployment.upstreams {
            upstream.set_faults(UpstreamFaults { shedding: true, ..UpstreamFaults::default() });
        }
        let read = fleet.get(0, "/ledger-view/a", &key).header("x-request-tag", "read");
        let (status, outcome, _) = told(read.send().await?).await?;
        assert_eq!((status, outcome.as_str()), (503, "not-run"));
        let id = format!("{binding}.shed");
        let (status, outcome, _) = told(fleet.deposit(0, &key, &id, "shed").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (503, "not-run"));
        assert!(fleet.executions("read").is_empty() && fleet.executions("shed").is_empty());

        // The caller was told `not-run`, so it may repeat with the same id.
        for upstream in &fleet.deployment.upstreams {
            upstream.set_faults(UpstreamFaults::default());
        }
        wait_until("the repeat runs", Duration::from_secs(10), || async {
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
fn outcome_refused_connection() {
    run(async {
        let fleet = Fleet::start(settings(1, SITE, 8)).await?;
        let key = fleet.key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        for upstream in &fleet.deployment.upstreams {
            upstream.crash(Duration::from_secs(60));
        }
        // A connection that is accepted while the listener closes breaks instead of being refused.
        wait_until("connections are refused", Duration::from_secs(10), || async {
            let tried =
                fleet.deployment.upstreams.iter().map(|it| TcpStream::connect(it.address()));
            futures_util::future::join_all(tried).await.iter().all(Result::is_err)
        })
        .await?;
        for attempt in 0..3 {
            let read = fleet.get(0, "/ledger-view/a", &key).send().await?;
            let (_, outcome, _) = told(read).await?;
            assert_eq!(outcome, "not-run", "read {attempt}");
            let id = format!("{binding}.{attempt}");
            let deposit = fleet.deposit(0, &key, &id, "refused").send().await?;
            let (_, outcome, _) = told(deposit).await?;
            assert_eq!(outcome, "not-run", "deposit {attempt}");
        }
        assert!(fleet.executions("refused").is_empty());
        Ok(())
    });
}

/// Guards against a repeated deposit or a wrong `not-run` when the connection breaks before an
/// answer, at which point the deposit may have run.
#[test]
fn outcome_broken_before_answer() {
    run(async {
        // It takes the whole request and closes the connection without an answer.
        let raw = RawUpstream::start(|mut stream, _| async move {
            let mut body = [0; 11];
            let _ = stream.read_exact(&mut body).await;
        })
        .await?;
        let change = |it: &mut _| redirect(it, "deposit-desk", raw.address);
        let fleet = Fleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let id = format!("{binding}.1");
        let (status, outcome, _) = told(fleet.deposit(0, &key, &id, "x").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (502, "unknown"));
        assert_eq!(raw.received(), 1);
        let (status, outcome, reason) =
            told(fleet.deposit(0, &key, &id, "x").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (409, "unknown"));
        assert_eq!(reason, "request-id-unknown");
        assert_eq!(raw.received(), 1);
        Ok(())
    });
}

/// Guards against a whole-looking answer when the connection to the upstream breaks inside it, and
/// against a second run of a deposit whose answer was lost that way.
#[test]
fn outcome_broken_inside_answer() {
    run(async {
        let raw = RawUpstream::start(|mut stream, _| async move {
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part";
            let _ = stream.write_all(answer).await;
            let _ = stream.flush().await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        })
        .await?;
        let change = |it: &mut _| {
            redirect(it, "deposit-desk", raw.address);
            redirect(it, "ledger-view", raw.address);
        };
        let fleet = Fleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let read = fleet.get(0, "/ledger-view/a", &key).send().await?;
        assert!(read.bytes().await.is_err(), "a cut answer looks whole");
        let id = format!("{binding}.1");
        let deposit = fleet.deposit(0, &key, &id, "x").send().await?;
        assert!(deposit.bytes().await.is_err(), "a cut answer looks whole");
        let received = raw.received();
        let (status, outcome, _) = told(fleet.deposit(0, &key, &id, "x").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (409, "executed"));
        assert_eq!(raw.received(), received);
        Ok(())
    });
}

/// Guards against `not-run` for a request that timed out at its upstream, and against its second
/// run.
#[test]
fn outcome_timeout() {
    run(async {
        let mut slow = settings(1, SITE, 8);
        slow.upstreams.iter_mut().for_each(|it| it.service_time_ms = 20_000.0);
        let fleet = Fleet::start(slow).await?;
        let key = fleet.key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let id = format!("{binding}.1");
        let deposit = || {
            let request = fleet.deposit(0, &key, &id, "late");
            request.header("kingcupford-deadline-ms", "400")
        };
        let (status, outcome, _) = told(deposit().send().await?).await?;
        assert_eq!((status, outcome.as_str()), (504, "unknown"));
        let (status, outcome, _) = told(deposit().send().await?).await?;
        assert_eq!((status, outcome.as_str()), (409, "unknown"));
        let read = fleet.get(0, "/ledger-view/a", &key).header("kingcupford-deadline-ms", "400");
        let (status, outcome, _) = told(read.send().await?).await?;
        assert_eq!((status, outcome.as_str()), (504, "unknown"));
        assert_eq!(fleet.executions("late").len(), 1);
        Ok(())
    });
}

/// Guards against a second run of a deposit that its caller repeats while the first still runs, at
/// another host, and after the host was killed and started again.
#[test]
fn at_most_once_repeats() {
    run(async {
        let mut slow = settings(2, SITE, 8);
        slow.upstreams.iter_mut().for_each(|it| it.service_time_ms = 800.0);
        let mut fleet = Fleet::start(slow).await?;
        let key = fleet.key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;

        let id = format!("{binding}.done");
        let first = tokio::spawn(fleet.deposit(0, &key, &id, "done").send());
        wait_until("the first runs", Duration::from_secs(10), || async {
            fleet.executions("done").len() == 1
        })
        .await?;
        let (status, outcome, reason) =
            told(fleet.deposit(0, &key, &id, "done").send().await?).await?;
        assert_eq!(
            (status, outcome.as_str(), reason.as_str()),
            (409, "unknown", "request-id-running")
        );
        let (status, outcome, reason) =
            told(fleet.deposit(1, &key, &id, "done").send().await?).await?;
        assert_eq!(
            (status, outcome.as_str(), reason.as_str()),
            (421, "unknown", "request-id-elsewhere")
        );
        assert_eq!(first.await??.status(), 200);
        let (status, outcome, _) = told(fleet.deposit(0, &key, &id, "done").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (409, "executed"));

        let id = format!("{binding}.killed");
        let first = tokio::spawn(fleet.deposit(0, &key, &id, "killed").send());
        wait_until("the first runs", Duration::from_secs(10), || async {
            fleet.executions("killed").len() == 1
        })
        .await?;
        fleet.hosts[0].take().expect("it runs").kill();
        assert!(first.await?.is_err());
        let (status, outcome, _) =
            told(fleet.deposit(1, &key, &id, "killed").send().await?).await?;
        assert_ne!(status, 200);
        assert_eq!(outcome, "unknown");
        fleet.start_host(0)?;
        fleet.settle(2).await?;
        let (status, outcome, _) =
            told(fleet.deposit(0, &key, &id, "killed").send().await?).await?;
        assert_eq!((status, outcome.as_str()), (410, "unknown"));
        for tag in ["done", "killed"] {
            assert_eq!(fleet.executions(tag).len(), 1, "{tag}");
        }
        Ok(())
    });
}

/// Guards against `not-run` for a request whose first sending broke after bytes and whose second
/// was shed when its body could not be sent a third time.
#[test]
fn outcome_broken_then_shed() {
    run(async {
        let sendings = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&sendings);
        let raw = RawUpstream::start(move |mut stream, _| {
            let is_first = count.fetch_add(1, Ordering::SeqCst) == 0;
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
            redirect(it, "photo-drop", raw.address);
            let mut services = it.services.iter_mut().filter(|it| it.name == "photo-drop");
            services.next().expect("it is declared").routes[0].idempotent = true;
        };
        let fleet = Fleet::start_with(settings(1, &["fukuoka-a", "fukuoka-b"], 8), change).await?;
        let key = fleet.key("k", "school-1").await?;
        let mut caller = TcpStream::connect(fleet.host(0).caller).await?;
        let head = format!(
            "POST /photo-drop/a HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n\
             content-length: 100000\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await?;
        caller.write_all(&[b'x'; 1000]).await?;
        let limit = Duration::from_secs(10);
        wait_until("it is sent again", limit, || async { raw.received() == 2 }).await?;
        caller.write_all(&[b'x'; 70_000]).await?;
        let answer = read_head(&mut caller).await.expect("an answer comes");
        assert!(answer.contains("kingcupford-outcome: unknown"), "{answer}");
        Ok(())
    });
}
