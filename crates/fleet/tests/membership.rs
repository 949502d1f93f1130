//! Membership under loss, partitions, crashes, restarts and pauses.

mod network;

use std::collections::BTreeMap;

use kingcupford_fleet::{MemberState, Message};
use network::{Network, millis, secs};

/// Current cluster size: eight hosts in six zones.
const CURRENT_SIZE: [(&str, usize); 6] =
    [("fa", 2), ("fb", 2), ("ka", 1), ("kb", 1), ("ga", 1), ("gb", 1)];

/// Three zones that contain hosts other than speakers.
const WITH_NON_SPEAKERS: [(&str, usize); 3] = [("a", 4), ("b", 4), ("c", 4)];

/// Guards against hosts that do not discover each other.
#[test]
fn members_converge_after_start() {
    for zones in [&CURRENT_SIZE[..], &WITH_NON_SPEAKERS[..]] {
        let mut network = Network::new(zones, 1);
        let time = network.run_until(secs(5), |it| it.has_converged());
        println!("converged after {time:?}");
        network.run_with(secs(20), |it| assert!(it.has_converged(), "membership is unstable"));
        assert!(network.hosts.iter().all(|it| !it.fleet.is_membership_changing(network.now)));
    }
}

/// Guards against running hosts that are considered gone after lost or late heartbeats, and against
/// duplicates that are applied as new heartbeats.
#[test]
fn members_stay_with_loss_delay_and_duplication() {
    for seed in 0..5 {
        let mut network = Network::new(&CURRENT_SIZE, seed);
        network.run(secs(5));
        network.loss_rate = 0.1;
        network.duplication_rate = 0.1;
        network.max_jitter = millis(300);
        network.run_with(secs(60), |it| {
            for host in &it.hosts {
                let gone = host.fleet.members().iter().any(|it| it.state == MemberState::Gone);
                assert!(!gone, "{} considers a running host gone (seed {seed})", host.name);
            }
        });
        network.loss_rate = 0.0;
        network.run_until(secs(5), |it| it.has_converged());
    }
}

/// Guards against callers that are sent to a silent host.
#[test]
fn member_silent_is_suspected_then_gone() {
    let mut network = Network::new(&CURRENT_SIZE, 2);
    network.run_until(secs(5), |it| it.has_converged());
    network.run(secs(1));
    // The host is partitioned rather than killed, so that silence is the only evidence.
    for (zone, _) in CURRENT_SIZE {
        network.cut_zones.push(("ka".into(), zone.into()));
    }
    let others = ["fa-0", "fb-1", "kb-0", "gb-0"];
    let seen = |it: &Network, state| others.iter().all(|host| it.state(host, "ka-0") >= state);
    let suspected = network.run_until(secs(4), |it| seen(it, MemberState::Suspected));
    assert!(suspected <= millis(2_600), "suspected after {suspected:?}");
    let gone = network.run_until(secs(12), |it| seen(it, MemberState::Gone));
    assert!(suspected + gone <= millis(10_100), "gone after {:?}", suspected + gone);
}

/// Guards against waiting 10 s for a process although two zone peers have detected its end.
#[test]
fn member_killed_is_gone_immediately_in_its_zone() {
    let mut network = Network::new(&WITH_NON_SPEAKERS, 3);
    network.run_until(secs(5), |it| it.has_converged());
    network.kill("a-1");
    let time = network.run_until(secs(2), |it| {
        ["a-0", "a-2", "a-3"].iter().all(|host| it.state(host, "a-1") == MemberState::Gone)
    });
    println!("gone after {time:?}");
    // Hosts of other zones, speakers or not, are informed by digests.
    network.run_until(secs(4), |it| {
        ["b-0", "b-1", "b-2", "b-3"]
            .iter()
            .all(|host| it.state(host, "a-1") >= MemberState::Suspected)
    });
}

/// Guards against delayed heartbeats of an old process that replace the state of its successor.
#[test]
fn member_restarted_replaces_the_old_process() {
    let mut network = Network::new(&CURRENT_SIZE, 4);
    network.run_until(secs(5), |it| it.has_converged());
    network.run(secs(1));
    let tick_at = network.now + millis(900);
    let late = network.fleet("ka-0").tick(tick_at);
    network.kill("ka-0");
    network.run(secs(1));
    network.restart("ka-0", 2);
    let time = network.run_until(secs(4), |it| it.has_converged());
    println!("restarted host is back after {time:?}");
    let now = network.now;
    for (to, message) in late {
        let Message::Heartbeat(_) = &message else { continue };
        let before = network.fleet(&to).member("ka-0").cloned();
        network.fleet(&to).receive("ka-0", message, now);
        assert_eq!(network.fleet(&to).member("ka-0").cloned(), before);
    }
}

/// Guards against a draining host that peers still name to callers, or that becomes live again.
#[test]
fn member_draining_is_reported_to_all_hosts() {
    let mut network = Network::new(&WITH_NON_SPEAKERS, 5);
    network.run_until(secs(5), |it| it.has_converged());
    let now = network.now;
    network.fleet("b-2").set_draining(now);
    network.fleet("b-2").set_live(now);
    let time = network.run_until(secs(3), |it| {
        it.hosts.iter().all(|host| {
            host.fleet.member("b-2").is_some_and(|it| it.state == MemberState::Draining)
        })
    });
    println!("drain known everywhere after {time:?}");
    let speakers = network.fleet("a-0").speakers("b").len();
    assert_eq!(speakers, 2, "a draining host is replaced as speaker");
}

/// Guards against an outdated list of the platform that overrides received heartbeats.
#[test]
fn platform_list_does_not_override_heartbeats() {
    let mut network = Network::new(&CURRENT_SIZE, 6);
    network.run_until(secs(5), |it| it.has_converged());
    let (now, mut list) = (network.now, network.listed_hosts.clone());
    list.retain(|it| it.name != "gb-0");
    list[0].draining = true;
    network.fleet("kb-0").apply_platform_hosts(&list, now);
    assert_eq!(network.state("kb-0", "gb-0"), MemberState::Live);
    assert_eq!(network.state("kb-0", "fa-0"), MemberState::Draining);
}

/// Guards against a zone that considers itself isolated while it reaches the platform or another
/// zone, that does not detect that it reaches neither, or that does not rejoin afterwards.
#[test]
fn zone_partitioned_is_isolated_and_rejoins() {
    let mut network = Network::new(&WITH_NON_SPEAKERS, 7);
    network.run_until(secs(5), |it| it.has_converged());
    network.cut_zones = vec![("c".into(), "*".into())];
    network.run(secs(14));
    let isolated = |it: &Network, zone: &str| {
        let hosts = it.hosts.iter().filter(|host| host.zone == zone);
        hosts.map(|host| host.fleet.is_isolated(it.now)).collect::<Vec<_>>()
    };
    assert_eq!(isolated(&network, "c"), [false; 4], "the platform is still there");
    network.is_platform_available = false;
    network.run_with(secs(9), |it| assert_eq!(isolated(it, "c"), [false; 4], "too early"));
    network.run(secs(13));
    assert_eq!(isolated(&network, "c"), [true; 4]);
    assert_eq!(isolated(&network, "a"), [false; 4]);
    assert_eq!(network.state("c-0", "c-3"), MemberState::Live, "the zone still works");
    assert!(network.state("a-3", "c-0") >= MemberState::Suspected);
    network.cut_zones.clear();
    let time = network.run_until(secs(12), |it| it.has_converged());
    println!("partitioned zone is back after {time:?}");
    assert_eq!(isolated(&network, "c"), [false; 4]);
}

/// Guards against a process that continues with outdated state after a pause.
#[test]
fn host_paused_discards_outdated_state() {
    let mut network = Network::new(&CURRENT_SIZE, 8);
    network.run_until(secs(5), |it| it.has_converged());
    network.run(secs(2));
    assert!(network.fleet("fa-0").last_acked_heartbeat("fb-0").is_some());
    assert!(!network.fleet("fa-0").take_pause_detected());
    network.pause("fa-0", secs(4));
    network.run(millis(3_000));
    assert!(network.state("fb-0", "fa-0") >= MemberState::Suspected);
    let now = network.now;
    network.fleet("fb-1").apply_document("config/head", 9, b"newer");
    network.run(millis(1_000));
    let resumed_at = network.now;
    assert!(resumed_at > now);
    assert!(network.fleet("fa-0").take_pause_detected());
    assert!(!network.fleet("fa-0").take_pause_detected(), "reported once");
    assert!(!network.fleet("fa-0").is_caught_up());
    let before = network.fleet("fa-0").last_acked_heartbeat("fb-0");
    assert!(
        before.is_none_or(|it| it.sent_at >= resumed_at),
        "a heartbeat before the pause counts"
    );
    let time = network.run_until(secs(1), |it| {
        it.fleet("fa-0").is_caught_up()
            && it.fleet("fa-0").document("config/head").is_some_and(|it| it.version == 9)
    });
    println!("caught up {time:?} after the pause");
    network.run_until(secs(3), |it| it.has_converged());
}

/// Guards against a message that acknowledges a heartbeat from before the pause because the process
/// handles it before its first tick.
#[test]
fn host_paused_detects_the_pause_on_a_message() {
    let mut network = Network::new(&CURRENT_SIZE, 11);
    network.run_until(secs(5), |it| it.has_converged());
    network.run(secs(2));
    let later = network.now + secs(3);
    let sent = network.fleet("fb-0").tick(later);
    let mut sent = sent.into_iter().filter(|it| it.0 == "fa-0");
    let (_, heartbeat) = sent.next().expect("a heartbeat is due");
    network.fleet("fa-0").receive("fb-0", heartbeat, later);
    assert!(network.fleet("fa-0").last_acked_heartbeat("fb-0").is_none());
    assert!(network.fleet("fa-0").take_pause_detected());
}

/// Guards against a share that is used too long because an acknowledgement is dated later than the
/// heartbeat that it acknowledges.
#[test]
fn acknowledgement_is_dated_by_sending_time() {
    let mut network = Network::new(&CURRENT_SIZE, 9);
    network.run_until(secs(5), |it| it.has_converged());
    network.run(secs(3));
    let cut_at = network.now;
    network.cut_zones = vec![("fa".into(), "ka".into())];
    network.run(secs(5));
    let ack =
        network.fleet("fa-0").last_acked_heartbeat("ka-0").expect("acknowledged before the cut");
    assert!(ack.sent_at <= cut_at);
    assert!(network.fleet("fa-0").heartbeat_sequence() > ack.sequence);
    let zone_ack =
        network.fleet("fa-0").last_acked_heartbeat("fa-1").expect("acknowledged by the zone peer");
    assert!(network.now - zone_ack.sent_at <= millis(1_600));
}

/// Guards against hosts that lose contact or flood each other when two hosts of a zone disagree
/// about the speakers of the zone.
#[test]
fn speakers_with_differing_views_reach_all_hosts() {
    let mut network = Network::new(&WITH_NON_SPEAKERS, 10);
    network.run_until(secs(5), |it| it.has_converged());
    // The speakers of `a` lose contact with each other, and one of them also with a third host.
    let speakers: Vec<String> =
        network.fleet("a-0").speakers("a").into_iter().map(str::to_owned).collect();
    let third = network.hosts.iter().find(|it| it.zone == "a" && !speakers.contains(&it.name));
    let third = third.expect("four hosts, two speakers").name.clone();
    network.cut_hosts =
        vec![(speakers[0].clone(), speakers[1].clone()), (speakers[0].clone(), third.clone())];
    network.run(secs(15));
    let views: Vec<Vec<String>> = network
        .hosts
        .iter()
        .filter(|it| it.zone == "a")
        .map(|it| it.fleet.speakers("a").into_iter().map(str::to_owned).collect())
        .collect();
    assert!(views.iter().any(|it| *it != views[0]), "the views differ: {views:?}");
    let sent: u64 = network.hosts.iter().map(|it| it.frames_out).sum();
    network.fleet(&third).apply_document("config/head", 5, b"five");
    network.run_until(secs(2), |it| {
        it.hosts.iter().all(|host| host.fleet.document("config/head").is_some())
    });
    network.run(secs(10));
    let sent = network.hosts.iter().map(|it| it.frames_out).sum::<u64>() - sent;
    println!("{} frames/s of 12 hosts with differing views", sent / 10);
    // The full mesh in three zones sends 72/s. Speakers add 24/s, and additional speakers due to
    // differing views at most the same again.
    assert!(sent / 10 < 160, "{sent} frames in 10 s");
    network.cut_hosts.clear();
    network.run_until(secs(12), |it| it.has_converged());
}

/// Guards against hosts that are suspected wrongly for long, and a crashed speaker that is detected
/// too late, when speakers are paired by rank and one of a pair crashes.
#[test]
fn paired_speaker_crashes_and_is_replaced() {
    let names: Vec<String> = (0..10).map(|it| format!("zone-{it}")).collect();
    let zones: Vec<(&str, usize)> = names.iter().map(|it| (it.as_str(), 4)).collect();
    for rank in 0..2 {
        let mut network = Network::new(&zones, 12);
        network.run_until(secs(5), |it| it.has_converged());
        network.run(secs(25));
        let crashed = network.fleet("zone-0-0").speakers("zone-3")[rank].to_owned();
        network.kill(&crashed);
        let mut detection_time = None;
        let mut wrong_suspicions = BTreeMap::new();
        let killed_at = network.now;
        network.run_with(secs(20), |it| {
            let mut is_suspected_everywhere = true;
            for host in it.hosts.iter().filter(|it| it.up) {
                for member in host.fleet.members() {
                    let suspected = member.state >= MemberState::Suspected;
                    if member.name != crashed && suspected {
                        let key = (host.name.clone(), member.name.clone());
                        *wrong_suspicions.entry(key).or_insert(0_u32) += 1;
                    }
                    is_suspected_everywhere &= member.name != crashed || suspected;
                }
            }
            if is_suspected_everywhere {
                detection_time.get_or_insert(it.now - killed_at);
            }
        });
        let detection_time = detection_time.expect("the crashed speaker is suspected everywhere");
        let longest_ms = wrong_suspicions.values().max().copied().unwrap_or(0) * 50;
        println!(
            "{} pairs of hosts suspected wrongly, {longest_ms} ms at most",
            wrong_suspicions.len()
        );
        // The state of a formerly paired host is known after one request and reply between zones.
        assert!(longest_ms <= 150, "suspected wrongly for {longest_ms} ms");
        println!("speaker of rank {rank} is suspected everywhere after {detection_time:?}");
        // Zone peers or the paired speaker detect the end within 2.5 s, and two relays take up to
        // 1.5 s.
        assert!(detection_time <= millis(4_100), "suspected after {detection_time:?}");
    }
}

/// Guards against hosts of a large zone that are considered gone between their less frequent
/// heartbeats, and against a silent one that is suspected too late.
#[test]
fn members_of_a_large_zone_are_stable() {
    let mut network = Network::new(&[("a", 60), ("b", 2)], 13);
    network.run_until(secs(5), |it| it.has_converged());
    network.run(secs(5));
    network.loss_rate = 0.02;
    network.run_with(secs(30), |it| {
        for host in &it.hosts {
            let gone = host.fleet.members().iter().any(|it| it.state == MemberState::Gone);
            assert!(!gone, "{} considers a running host gone", host.name);
        }
    });
    network.loss_rate = 0.0;
    network.run_until(secs(5), |it| it.has_converged());
    for other in network.host_names("a") {
        if other != "a-7" {
            network.cut_hosts.push(("a-7".into(), other));
        }
    }
    let suspected =
        network.run_until(secs(8), |it| it.state("a-3", "a-7") >= MemberState::Suspected);
    // Four intervals of three rounds of 500 ms, plus a tolerance.
    assert!(suspected <= millis(6_200), "suspected after {suspected:?}");
}
