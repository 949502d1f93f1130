//! Case: machines are stopped and started in turn after a request that crashes instances was found.
//!
//! Five hosts in two zones of one region, eight instances of one service, one route of kind `once`.
//! One client sends the same request again and again, at one host after the other; each instance
//! that begins to run it crashes and is back after 3 s. Other clients send usual requests.

#[path = "common.rs"]
mod common;

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::*;

const HOSTS: usize = 5;
const INSTANCES: usize = 8;

/// Time that an instance works on a usual request.
const WORK: Duration = Duration::from_millis(300);

/// Time until a crashed instance is back; the pages: "the instance is back after some seconds".
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Time after which the store removes the entry of a crashed instance: three liveness reports.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4500);

/// Interval at which the request comes again.
const POISON_INTERVAL: Duration = Duration::from_millis(1200);

/// Time from the start of a host until the next host is stopped.
const STOP_INTERVAL: Duration = Duration::from_millis(12_500);

/// `StabilityWindow` of the site file.
const STABILITY_WINDOW: Duration = Duration::from_secs(4);

/// Retries that the rule allows after the third crash.
const ALLOWED_RETRIES: usize = 3;

#[derive(Debug, Clone)]
struct Crash {
    /// Number of the request, from 0; all but the first are retries.
    number: usize,
    at: Instant,
    instance: String,
    /// Usual requests that the instance was working on.
    lost: u32,
}

#[derive(Default)]
struct Seen {
    crashes: Mutex<Vec<Crash>>,
    usual: AtomicU32,
    usual_answered: AtomicU32,
    usual_lost: AtomicU32,
}

/// A site of instances: one after the other at the same address.
struct Site {
    index: usize,
    address: String,
    starts: AtomicU32,
    store: Store,
    seen: Arc<Seen>,
    record: Record,
}

/// A running instance.
struct Instance {
    id: String,
    is_down: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    working: AtomicU32,
}

fn main() {
    let dir = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder given"));
    let record_path = std::env::args().nth(2).unwrap_or_else(|| cannot_run("no record given"));
    let record = Record::new(&record_path);
    let net = network();
    let store_address = format!("{net}.250:8382");
    let store = Store::start(&store_address, &record);
    let seen = Arc::new(Seen::default());
    for index in 0..INSTANCES {
        let site = Arc::new(Site {
            index,
            address: format!("{net}.{}:8601", 100 + index),
            starts: AtomicU32::new(0),
            store: store.clone(),
            seen: Arc::clone(&seen),
            record: record.clone(),
        });
        site.start(0);
    }
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
    let mut hosts: Vec<Node> = (0..HOSTS)
        .map(|at| {
            let (zone, ip) = (zones[at % 2].0, format!("{net}.{}", 1 + at));
            let name = format!("edge-{zone}-{}", 1 + at / 2);
            Node::new(&dir, &name, &ip, zone, &zones, &store_address, true)
        })
        .collect();
    hosts.iter_mut().for_each(Node::start);
    hosts.iter().for_each(Node::wait_ready);
    // From now on it isn't the first start any more.
    let started_at = Instant::now();
    record.line("all hosts are ready");
    sleep_ms(1500);

    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> = hosts.iter().map(Node::caller_address).collect();
    // Since when each host has been in touch, in this program's terms: its last start.
    let starts = Arc::new(Mutex::new(vec![Some(started_at); HOSTS]));
    let mut clients: Vec<_> = (0..40usize)
        .map(|at| {
            let (address, seen, stop) = (addresses[at % HOSTS], Arc::clone(&seen), Arc::clone(&stop));
            thread::spawn(move || run_usual_client(at, address, &seen, &stop))
        })
        .collect();
    // Host and time of each poison request, by its number.
    let sent: Arc<Mutex<Vec<(usize, Instant, bool)>>> = Arc::default();
    {
        let (addresses, starts, stop) = (addresses.clone(), Arc::clone(&starts), Arc::clone(&stop));
        let (sent, record) = (Arc::clone(&sent), record.clone());
        clients.push(thread::spawn(move || {
            sleep_ms(2000);
            run_poison_client(&addresses, &starts, &sent, &stop, &record)
        }));
    }
    sleep_ms(12_000);
    for at in 0..HOSTS {
        if with_trouble() {
            let stopped_at = Instant::now();
            record.line(&format!("SIGTERM to {}", hosts[at].name));
            starts.lock().unwrap()[at] = None;
            hosts[at].signal("TERM");
            while hosts[at].is_running() && stopped_at.elapsed() < Duration::from_secs(6) {
                sleep_ms(10);
            }
            hosts[at].kill();
            hosts[at].mark_restarted();
            hosts[at].start();
            starts.lock().unwrap()[at] = Some(Instant::now());
            record.line(&format!("{} starts again", hosts[at].name));
            hosts[at].wait_ready();
        }
        thread::sleep(STOP_INTERVAL);
    }
    stop.store(true, Ordering::Relaxed);
    for it in clients {
        let _ = it.join();
    }
    hosts.iter_mut().for_each(Node::kill);

    let crashes = seen.crashes.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let third_at = crashes.get(2).map(|it| it.at);
    let mut counted = 0;
    for it in &crashes {
        let Some(&(host, sent_at, in_touch)) = sent.get(it.number) else { continue };
        let is_late = third_at.is_some_and(|at| sent_at > at + STABILITY_WINDOW);
        let counts = is_late && in_touch;
        counted += usize::from(counts);
        record.line(&format!(
            "poison request {} to {} crashed {} with {} usual requests in work; its host was in \
             touch: {in_touch}; later than 4 s after the third crash: {is_late}",
            it.number, hosts[host].name, it.instance, it.lost
        ));
    }
    let load = |it: &AtomicU32| it.load(Ordering::Relaxed);
    record.line(&format!(
        "{} usual requests, {} answered by an instance, {} lost in crashes; {} poison requests, {} \
         crashes; {counted} of the retries that reached an instance were sent by machines in touch \
         later than 4 s after the third crash, allowed are {ALLOWED_RETRIES}",
        load(&seen.usual),
        load(&seen.usual_answered),
        load(&seen.usual_lost),
        sent.len(),
        crashes.len()
    ));
    if load(&seen.usual_answered) < 500 || crashes.is_empty() {
        cannot_run("too few requests were served");
    }
    std::process::exit(i32::from(counted > ALLOWED_RETRIES));
}

impl Site {
    fn start(self: Arc<Self>, cold_ms: u32) {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let instance = Arc::new(Instance {
            id: format!("i-{}-{start}", self.index),
            is_down: AtomicBool::new(false),
            channels: Mutex::default(),
            working: AtomicU32::new(0),
        });
        let listener = TcpListener::bind(&self.address)
            .unwrap_or_else(|e| cannot_run(&format!("{}: {e}", self.address)));
        listener.set_nonblocking(true).unwrap();
        let zone = if self.index % 2 == 0 { "fukuoka-a" } else { "fukuoka-b" };
        self.store.put(
            "servers",
            &instance.id,
            &format!(
                "{{\"service\":\"deposit-desk\",\"address\":\"{}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":9,\"state\":\"ready\",\"cold_remaining_ms\":{cold_ms},\
                 \"sequence\":1,\"born\":{}}}",
                self.address,
                unix_ms()
            ),
        );
        thread::spawn(move || {
            while !instance.is_down.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        instance.channels.lock().unwrap().extend(stream.try_clone());
                        let (site, instance) = (Arc::clone(&self), Arc::clone(&instance));
                        thread::spawn(move || site.serve(&instance, stream));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
            drop(listener);
            let channels = std::mem::take(&mut *instance.channels.lock().unwrap());
            channels.iter().for_each(|it| drop(it.shutdown(Shutdown::Both)));
            drop(channels);
            thread::sleep(DOWN_TIME);
            let (store, id) = (self.store.clone(), instance.id.clone());
            self.start(3000);
            thread::sleep(ENTRY_LIFETIME - DOWN_TIME);
            store.remove("servers", &id);
        });
    }

    fn serve(&self, instance: &Instance, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(mut head)) = read_head(&mut stream, std::mem::take(&mut rest)) {
            if read_body(&mut stream, &mut head).is_err() {
                return;
            }
            rest = std::mem::take(&mut head.rest);
            let id = head.header("x-request-id").unwrap_or("").to_owned();
            let reply = |status: &str, more: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{more}x-instance-load: 1,0,9\r\n\
                     content-length: 2\r\n\r\nok"
                )
            };
            if head.header("x-target-instance").is_some_and(|it| it != instance.id) {
                let text = reply("421 Misdirected Request", "x-not-executed: 1\r\n");
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if head.target() == "/deposit/jar-77" {
                if instance.is_down.swap(true, Ordering::Relaxed) {
                    return;
                }
                let number = id.trim_start_matches("poison-").parse().unwrap_or(usize::MAX);
                let (at, lost) = (Instant::now(), instance.working.load(Ordering::Relaxed));
                self.record.line(&format!("instance {} crashes on {id}", instance.id));
                let instance = instance.id.clone();
                self.seen.crashes.lock().unwrap().push(Crash { number, at, instance, lost });
                return;
            }
            instance.working.fetch_add(1, Ordering::Relaxed);
            thread::sleep(WORK);
            instance.working.fetch_sub(1, Ordering::Relaxed);
            if instance.is_down.load(Ordering::Relaxed) {
                self.seen.usual_lost.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let text = reply("200 OK", &format!("x-response-seal: seal-{id}\r\n"));
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Sends the request that crashes instances, at one host after the other.
fn run_poison_client(
    addresses: &[SocketAddr],
    starts: &Mutex<Vec<Option<Instant>>>,
    sent: &Mutex<Vec<(usize, Instant, bool)>>,
    stop: &AtomicBool,
    record: &Record,
) {
    let mut at = 0;
    while !stop.load(Ordering::Relaxed) {
        at = (at + 1) % addresses.len();
        let started_at = starts.lock().unwrap()[at];
        let stream = TcpStream::connect_timeout(&addresses[at], Duration::from_secs(1));
        // A host that is being stopped isn't named by the directory.
        if let (Some(started_at), Ok(mut stream)) = (started_at, stream) {
            let number = {
                let mut sent = sent.lock().unwrap();
                sent.push((at, Instant::now(), started_at.elapsed() > STABILITY_WINDOW));
                sent.len() - 1
            };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
            let request = format!(
                "POST /deposit/jar-77 HTTP/1.1\r\nhost: savers.example\r\n\
                 x-request-id: poison-{number}\r\nx-deadline-remaining: 6000\r\n\
                 content-length: 12\r\n\r\ncoins=banana"
            );
            let answer = stream.write_all(request.as_bytes()).and_then(|()| read_answer(&mut stream));
            let got = answer.map_or_else(|it| it.to_string(), |it| it.status.to_string());
            record.line(&format!("client of poison-{number}, sent to {}, gets {got}", addresses[at]));
        }
        thread::sleep(POISON_INTERVAL);
    }
}

/// Sends usual requests at one host, each on a new channel.
fn run_usual_client(at: usize, address: SocketAddr, seen: &Seen, stop: &AtomicBool) {
    static NUMBERS: AtomicU64 = AtomicU64::new(0);
    sleep_ms(at as u64 * 20);
    while !stop.load(Ordering::Relaxed) {
        sleep_ms(300);
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            continue;
        };
        let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
        let request = format!(
            "POST /deposit/jar-{} HTTP/1.1\r\nhost: savers.example\r\nx-request-id: u{number}\r\n\
             x-deadline-remaining: 6000\r\ncontent-length: 8\r\n\r\ncoins=10",
            1000 + number
        );
        seen.usual.fetch_add(1, Ordering::Relaxed);
        let answer = stream.write_all(request.as_bytes()).and_then(|()| read_answer(&mut stream));
        if answer.is_ok_and(|it| it.sealed) {
            seen.usual_answered.fetch_add(1, Ordering::Relaxed);
        }
    }
}
