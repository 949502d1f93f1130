//! Control traffic and processor time of each host at the sizes of the design page.

mod network;

use network::{Network, OVERHEAD_BYTES, millis, secs};

/// Most bytes per second that a host may send and receive for control together.
const BUDGET_BYTES_PER_S: u64 = 25_000;

/// Guards against control traffic that grows above 25 KB/s a host in one zone.
#[test]
fn traffic_of_one_zone_is_within_its_budget() {
    for count in [8, 22, 64] {
        measure(&format!("{count} hosts in one zone"), &[("zone-a", count)], 20);
    }
}

/// Guards against control traffic that grows above 25 KB/s a host at the target size.
#[test]
fn traffic_of_550_hosts_is_within_its_budget() {
    let names: Vec<String> = (0..25).map(|it| format!("region-{}-zone-{it}", it % 7)).collect();
    let zones: Vec<(&str, usize)> = names.iter().map(|it| (it.as_str(), 22)).collect();
    measure("550 hosts in 25 zones", &zones, 30);
}

/// Guards against control traffic that grows above 25 KB/s a host today.
#[test]
fn traffic_of_today_is_within_its_budget() {
    let zones = [("fa", 2), ("fb", 2), ("ka", 1), ("kb", 1), ("ga", 1), ("gb", 1)];
    measure("8 hosts in 6 zones", &zones, 24);
}

/// Prints and checks the traffic of a network that is in a steady state but for loads.
fn measure(label: &str, zones: &[(&str, usize)], seconds: u64) {
    let mut network = Network::new(zones, 1);
    let converged = network.until(secs(10), |it| it.converged());
    for host in &mut network.hosts {
        for document in ["config/head", "quota/ledger", "rollout/ledger-view"] {
            host.fleet.apply_document(document, 1_234, b"content");
        }
        // Room for 16 resources, as the engine adds it.
        host.fleet.set_section(1, vec![0; 16]);
        host.fleet.set_load(400);
    }
    network.run(secs(5));
    for host in &mut network.hosts {
        (host.frames_out, host.bytes_out, host.frames_in, host.bytes_in) = (0, 0, 0, 0);
        host.busy = millis(0);
    }
    for second in 0..seconds {
        let at = usize::try_from(second).expect("small") * 7 % network.hosts.len();
        network.hosts[at].fleet.set_load(900);
        network.run(secs(1));
    }
    let hosts = &network.hosts;
    let wire = |frames: u64, bytes: u64| (bytes + frames * OVERHEAD_BYTES) / seconds;
    let most = hosts.iter().max_by_key(|it| wire(it.frames_out, it.bytes_out)).expect("some");
    let mean =
        hosts.iter().map(|it| wire(it.frames_out, it.bytes_out)).sum::<u64>() / hosts.len() as u64;
    let most_in = hosts.iter().map(|it| wire(it.frames_in, it.bytes_in)).max().expect("some");
    let both =
        |it: &network::Host| wire(it.frames_out, it.bytes_out) + wire(it.frames_in, it.bytes_in);
    let most_both = hosts.iter().map(both).max().expect("some");
    let busy = hosts.iter().map(|it| it.busy).max().expect("some").as_secs_f64();
    println!(
        "{label}: converged after {converged:?}; busiest host out {} frames/s, {} payload B/s, \
         {} wire B/s; in at most {most_in} wire B/s; both at most {most_both} wire B/s; mean out {mean} wire B/s; processor at most \
         {:.2} % of a core",
        most.frames_out / seconds,
        most.bytes_out / seconds,
        wire(most.frames_out, most.bytes_out),
        busy / seconds as f64 * 100.0,
    );
    assert!(most_both <= BUDGET_BYTES_PER_S, "{label}: {most_both} B/s");
}
