//! Case: a new order follows the rollback of a bad version, whose instances still run.
//!
//! Two hosts in two zones of one region and one service on a route of kind `once`. The version `v2`
//! fails a quarter of its requests and is rolled back by the hosts. The operator then orders `v3`,
//! which is good. The instances of `v2` drain some seconds after the rollback.

#[path = "common.rs"]
mod common;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::*;

/// Time that an instance works on a request.
const WORK: Duration = Duration::from_millis(100);

/// One of so many requests fails at `v2`. The site files' largest share is a half.
const FAILURE_INTERVAL: u64 = 4;

/// Duration of both orders, as in the site files.
const ORDER_DURATION: Duration = Duration::from_secs(16);

/// Time from the store's acknowledgement of `rolled-back` until the operator orders `v3`.
const SECOND_ORDER_AFTER: Duration = Duration::from_millis(500);

/// Time from the acknowledgement of `rolled-back` until the instances of `v2` drain; the pages:
/// "some seconds later".
const DRAIN_AFTER: Duration = Duration::from_secs(8);

/// `Rollback`, `ExposureShare` and `ExposureSlack` of the site file.
const ROLLBACK: Duration = Duration::from_secs(5);
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// A request that reached an instance.
#[derive(Debug, Clone)]
struct Arrival {
    version: &'static str,
    /// Time at which the client sent it.
    sent_at: Instant,
    /// Time of the failure, if the instance answered with one.
    failed_at: Option<Instant>,
}

#[derive(Default)]
struct Seen {
    sent: Mutex<Vec<(String, Instant)>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Answers that clients got, by status and whether an instance sealed them.
    answers: Mutex<std::collections::BTreeMap<(u16, bool), u32>>,
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder given"));
    let record_path = std::env::args().nth(2).unwrap_or_else(|| cannot_run("no record given"));
    let record = Record::new(&record_path);
    let net = network();
    let store_address = format!("{net}.250:8382");
    let store = Store::start(&store_address, &record);
    let seen = Arc::new(Seen::default());
    let deploy = |version: &'static str, first: usize| {
        for at in first..first + 6 {
            let address = format!("{net}.{}:8601", 100 + at);
            start_instance(&address, version, &seen);
            register(&store, at, version, &address, "ready");
        }
    };
    deploy("v1", 0);
    store.put(
        "config",
        "main",
        "{\"version\":3,\"routes\":[{\"name\":\"coin-deposit\",\"host\":\"savers.example\",\
         \"path_prefix\":\"/deposit/\",\"repeat\":\"once\",\"timeout_ms\":4000,\
         \"target_latency_ms\":800,\"service\":\"deposit-desk\",\"max_attempts\":2}],\
         \"services\":[{\"name\":\"deposit-desk\",\"health_path\":\"/health\",\
         \"max_connections\":1230,\"cold_start_s\":3,\"cold_rate_per_s\":7.6}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
    );
    let zones = [("fukuoka-a", "fukuoka"), ("fukuoka-b", "fukuoka")];
    let ips = [format!("{net}.1"), format!("{net}.2")];
    let mut hosts: Vec<Node> = ips
        .iter()
        .zip(zones)
        .map(|(ip, zone)| {
            Node::new(&dir, &format!("edge-{}", zone.0), ip, zone.0, &zones, &store_address, true)
        })
        .collect();
    hosts.iter_mut().for_each(Node::start);
    hosts.iter().for_each(Node::wait_ready);
    record.line("both hosts are ready");
    sleep_ms(1500);

    let stop = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..60usize)
        .map(|at| {
            let address = hosts[at % 2].caller_address();
            let (seen, stop, numbers) = (Arc::clone(&seen), Arc::clone(&stop), Arc::clone(&numbers));
            thread::spawn(move || run_client(at, address, &seen, &numbers, &stop))
        })
        .collect();
    sleep_ms(4000);

    deploy("v2", 6);
    order(&store, "v2");
    let ordered_at = Instant::now();
    let status = || store.get("rollouts", "deposit-desk").map_or(String::new(), |it| it.1);
    while json_field(&status(), "state").is_none_or(|it| json_text(&it) != "rolled-back") {
        if ordered_at.elapsed() > ORDER_DURATION {
            cannot_run("the hosts didn't roll v2 back");
        }
        sleep_ms(10);
    }
    let rolled_back_at = Instant::now();
    let arrivals_of = |version: &str| {
        seen.arrivals.lock().unwrap().iter().filter(|it| it.version == version).count()
    };
    record.line(&format!("v2 is rolled back; it got {} requests until now", arrivals_of("v2")));
    if with_trouble() {
        thread::sleep(SECOND_ORDER_AFTER);
        deploy("v3", 12);
        order(&store, "v3");
    }
    let mut drained_at = None;
    while ordered_at.elapsed() < ORDER_DURATION {
        sleep_ms(500);
        record.line(&format!(
            "requests until now: v1 {}, v2 {}, v3 {}; status {}",
            arrivals_of("v1"),
            arrivals_of("v2"),
            arrivals_of("v3"),
            status()
        ));
        if drained_at.is_none() && rolled_back_at.elapsed() >= DRAIN_AFTER {
            for at in 6..12 {
                register(&store, at, "v2", &format!("{net}.{}:8601", 100 + at), "draining");
            }
            drained_at = Some(Instant::now());
        }
    }
    stop.store(true, Ordering::Relaxed);
    for it in clients {
        let _ = it.join();
    }
    hosts.iter_mut().for_each(Node::kill);

    let arrivals = seen.arrivals.lock().unwrap().clone();
    let deadline = ordered_at + ORDER_DURATION;
    let in_order = |it: &&Arrival| it.sent_at >= ordered_at && it.sent_at <= deadline;
    let total = arrivals.iter().filter(in_order).count();
    let exposed = arrivals.iter().filter(in_order).filter(|it| it.version == "v2").count();
    let allowed = EXPOSURE_SHARE * total as f64 + EXPOSURE_SLACK;
    let mut failures: Vec<Instant> =
        arrivals.iter().filter(|it| it.version == "v2").filter_map(|it| it.failed_at).collect();
    failures.sort();
    let fiftieth = failures.get(49).copied();
    let late = fiftieth.map_or(0, |at| {
        let of_v2 = arrivals.iter().filter(|it| it.version == "v2");
        of_v2.filter(|it| it.sent_at > at + ROLLBACK).count()
    });
    let after_rollback =
        arrivals.iter().filter(|it| it.version == "v2" && it.sent_at > rolled_back_at).count();
    for ((status, sealed), count) in seen.answers.lock().unwrap().iter() {
        record.line(&format!("clients got {status}, sealed by an instance: {sealed}: {count} times"));
    }
    record.line(&format!(
        "of {total} requests from the order of v2 to its deadline, {exposed} went to v2, allowed \
         are {allowed:.0}; {after_rollback} of them were sent after its rollback was acknowledged; \
         v2 gave {} bad answers; {late} requests for it were sent later than {} s after its 50th \
         bad answer, allowed are none",
        failures.len(),
        ROLLBACK.as_secs()
    ));
    if total < 1000 {
        cannot_run("too few requests were served");
    }
    std::process::exit(i32::from(exposed as f64 > allowed || late > 0));
}

fn register(store: &Store, at: usize, version: &str, address: &str, state: &str) {
    let zone = if at % 2 == 0 { "fukuoka-a" } else { "fukuoka-b" };
    store.put(
        "servers",
        &format!("i-{at}"),
        &format!(
            "{{\"service\":\"deposit-desk\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":9,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"sequence\":1,\"born\":1780000000000}}"
        ),
    );
}

fn order(store: &Store, version: &str) {
    store.put(
        "rollouts",
        "deposit-desk",
        &format!(
            "{{\"service\":\"deposit-desk\",\"target_version\":\"{version}\",\"duration_s\":{}}}",
            ORDER_DURATION.as_secs()
        ),
    );
}

fn start_instance(address: &str, version: &'static str, seen: &Arc<Seen>) {
    let seen = Arc::clone(seen);
    let count = AtomicU64::new(0);
    listen(address, move |mut stream| {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(mut head)) = read_head(&mut stream, std::mem::take(&mut rest)) {
            if read_body(&mut stream, &mut head).is_err() {
                return;
            }
            rest = std::mem::take(&mut head.rest);
            let id = head.header("x-request-id").unwrap_or("").to_owned();
            let number: usize = id.trim_start_matches('r').parse().unwrap_or(0);
            let sent_at = seen.sent.lock().unwrap()[number].1;
            let fails = version == "v2"
                && count.fetch_add(1, Ordering::Relaxed).is_multiple_of(FAILURE_INTERVAL);
            thread::sleep(WORK);
            let failed_at = fails.then(Instant::now);
            seen.arrivals.lock().unwrap().push(Arrival { version, sent_at, failed_at });
            let status = if fails { "500 Internal Server Error" } else { "200 OK" };
            let reply = format!(
                "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-seal: seal-{id}\r\n\
                 x-instance-load: 1,0,9\r\ncontent-length: 2\r\n\r\nok"
            );
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// A client that opens a new channel for each request.
fn run_client(at: usize, address: SocketAddr, seen: &Seen, numbers: &AtomicU64, stop: &AtomicBool) {
    sleep_ms(at as u64 * 3);
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            sleep_ms(100);
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let _ = stream.set_nodelay(true);
        let id = {
            let mut sent = seen.sent.lock().unwrap();
            let id = format!("r{}", numbers.fetch_add(1, Ordering::Relaxed));
            sent.push((id.clone(), Instant::now()));
            id
        };
        let body = "d".repeat(400);
        let request = format!(
            "POST /deposit/{id} HTTP/1.1\r\nhost: savers.example\r\nx-request-id: {id}\r\n\
             x-deadline-remaining: 6000\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = stream.write_all(request.as_bytes()).and_then(|()| read_answer(&mut stream));
        if let Ok(it) = answer {
            *seen.answers.lock().unwrap().entry((it.status, it.sealed)).or_default() += 1;
        }
        sleep_ms(50);
    }
}
