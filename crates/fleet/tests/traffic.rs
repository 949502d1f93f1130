//! Control traffic and processor time per host at several cluster sizes.

mod network;

use network::{FRAME_OVERHEAD_BYTES, Network, millis, secs};

/// Limit for the control traffic that a host sends and receives together.
const CONTROL_TRAFFIC_BUDGET_BYTES_PER_S: u64 = 25_000;

/// Guards against control traffic above 25 KB/s per host in a single zone.
#[test]
fn traffic_of_one_zone_is_within_its_budget() {
    for count in [8, 22, 64] {
        measure(&format!("{count} hosts in one zone"), &[("zone-a", count)], 20);
    }
}

/// Guards against control traffic above 25 KB/s per host at the target size.
#[test]
fn traffic_of_550_hosts_is_within_its_budget() {
    let names: Vec<String> = (0..25).map(|it| format!("region-{}-zone-{it}", it % 7)).collect();
    let zones: Vec<(&str, usize)> = names.iter().map(|it| (it.as_str(), 22)).collect();
    measure("550 hosts in 25 zones", &zones, 30);
}

/// Guards against control traffic above 25 KB/s per host at the current size.
#[test]
fn traffic_of_current_size_is_within_its_budget() {
    let zones = [("fa", 2), ("fb", 2), ("ka", 1), ("kb", 1), ("ga", 1), ("gb", 1)];
    measure("8 hosts in 6 zones", &zones, 24);
}

/// Prints and checks the traffic of a network in which only loads change.
fn measure(label: &str, zones: &[(&str, usize)], seconds: u64) {
    let mut network = Network::new(zones, 1);
    let converged = network.run_until(secs(10), |it| it.has_converged());
    for host in &mut network.hosts {
        for document in ["config/head", "quota/ledger", "rollout/ledger-view"] {
            host.fleet.apply_document(document, 1_234, b"content");
        }
        // The section stands for the content that other crates add.
        host.fleet.set_section(1, vec![0; 16]);
        host.fleet.set_load(400);
    }
    network.run(secs(5));
    for host in &mut network.hosts {
        (host.frames_out, host.bytes_out, host.frames_in, host.bytes_in) = (0, 0, 0, 0);
        host.processing_time = millis(0);
    }
    for second in 0..seconds {
        let index = usize::try_from(second).expect("small") * 7 % network.hosts.len();
        network.hosts[index].fleet.set_load(900);
        network.run(secs(1));
    }
    let hosts = &network.hosts;
    let wire_bytes_per_s =
        |frames: u64, bytes: u64| (bytes + frames * FRAME_OVERHEAD_BYTES) / seconds;
    let busiest =
        hosts.iter().max_by_key(|it| wire_bytes_per_s(it.frames_out, it.bytes_out)).expect("some");
    let mean_out =
        hosts.iter().map(|it| wire_bytes_per_s(it.frames_out, it.bytes_out)).sum::<u64>()
            / hosts.len() as u64;
    let max_in =
        hosts.iter().map(|it| wire_bytes_per_s(it.frames_in, it.bytes_in)).max().expect("some");
    let in_and_out = |it: &network::Host| {
        wire_bytes_per_s(it.frames_out, it.bytes_out) + wire_bytes_per_s(it.frames_in, it.bytes_in)
    };
    let max_in_and_out = hosts.iter().map(in_and_out).max().expect("some");
    let processing_s = hosts.iter().map(|it| it.processing_time).max().expect("some").as_secs_f64();
    println!(
        "{label}: converged after {converged:?}; busiest host out {} frames/s, {} payload B/s, \
         {} wire B/s; in at most {max_in} wire B/s; both at most {max_in_and_out} wire B/s; mean out {mean_out} wire B/s; processor at most \
         {:.2} % of a core",
        busiest.frames_out / seconds,
        busiest.bytes_out / seconds,
        wire_bytes_per_s(busiest.frames_out, busiest.bytes_out),
        processing_s / seconds as f64 * 100.0,
    );
    assert!(max_in_and_out <= CONTROL_TRAFFIC_BUDGET_BYTES_PER_S, "{label}: {max_in_and_out} B/s");
}
