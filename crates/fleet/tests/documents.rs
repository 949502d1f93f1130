//! Replication of documents and chunks to all hosts, with versions that never decrease.

mod network;

use std::time::Duration;

use kingcupford_fleet::{ApplyOutcome, Documents, MemberState, Message, chunk_sha256};
use network::{Network, millis, secs};
use proptest::{prelude::*, test_runner::RngSeed};

/// Three zones that contain hosts other than speakers.
const WITH_NON_SPEAKERS: [(&str, usize); 3] = [("a", 5), ("b", 5), ("c", 5)];

/// Guards against a change that reaches a zone only with a later heartbeat.
#[test]
fn document_reaches_all_zones_within_a_second() {
    for (seed, delay_ms) in [(1, 35), (2, 55)] {
        let mut network = Network::new(&WITH_NON_SPEAKERS, seed);
        network.inter_zone_delay = millis(delay_ms);
        network.run_until(secs(5), |it| it.has_converged());
        for version in 1..=5 {
            // The path from a host that is not a speaker is the longest.
            let host = network.hosts.iter().find(|it| it.zone == "a" && !it.fleet.is_speaker());
            let host = host.expect("five hosts, two speakers").name.clone();
            let outcome = network.fleet(&host).apply_document("config/head", version, &[7; 4_000]);
            assert_eq!(outcome, ApplyOutcome::Applied);
            let time = network.run_until(secs(1), |it| all_hosts_have(it, version));
            println!("version {version} is everywhere after {time:?} at {delay_ms} ms");
            network.run(millis(730));
        }
    }
}

/// Guards against a change that is lost permanently when its messages are lost.
#[test]
fn document_reaches_all_hosts_despite_loss() {
    for seed in 0..5 {
        let mut network = Network::new(&WITH_NON_SPEAKERS, seed);
        network.run_until(secs(5), |it| it.has_converged());
        network.loss_rate = 0.3;
        network.fleet("a-0").apply_document("config/head", 1, b"one");
        let time = network.run_until(secs(6), |it| all_hosts_have(it, 1));
        println!("everywhere after {time:?} with 30 % loss");
    }
}

/// Guards against a new host that cannot start while the platform is unavailable, or that requests
/// chunks from a silent peer forever.
#[test]
fn fresh_host_starts_from_its_peers() {
    let mut network = Network::new(&[("a", 4), ("b", 2)], 3);
    network.run_until(secs(5), |it| it.has_converged());
    let chunks: Vec<Vec<u8>> = (0..40_u8).map(|it| vec![it; 200_000]).collect();
    let names: Vec<String> = chunks.iter().map(|it| chunk_sha256(it)).collect();
    for host in &mut network.hosts {
        host.fleet.apply_document("config/head", 3, b"head");
        host.fleet.apply_document("quota/ledger", 8, b"ledger");
        host.fleet.documents_mut().set_required_chunks(3, names.clone());
        for chunk in &chunks {
            host.fleet.documents_mut().insert_chunk(chunk);
        }
    }
    network.run(secs(1));
    network.is_platform_available = false;
    network.kill("a-3");
    network.run(secs(11));
    network.restart("a-3", 2);
    assert_eq!(network.fleet("a-3").documents().versions(), []);
    let time = network.run_until(secs(2), |it| it.fleet("a-3").documents().versions().len() == 2);
    println!("documents after {time:?}");
    // One peer stops replying; other peers have the chunks as well.
    network.pause("a-1", secs(20));
    network.fleet("a-3").documents_mut().set_required_chunks(3, names.clone());
    let time =
        network.run_until(secs(4), |it| it.fleet("a-3").documents().missing_chunks().is_empty());
    println!("40 chunks after {time:?}");
    // The three seeds provide the other hosts.
    let known_hosts = network.fleet("a-3").members().len();
    assert_eq!(known_hosts, 6);
    network.run_until(secs(3), |it| it.state("a-3", "b-1") == MemberState::Live);
}

/// Guards against storing a chunk whose content does not match the request.
#[test]
fn chunk_with_wrong_content_is_rejected() {
    let mut network = Network::new(&[("a", 2)], 4);
    network.run_until(secs(5), |it| it.has_converged());
    let (now, name) = (network.now, chunk_sha256(b"right"));
    network.fleet("a-0").documents_mut().set_required_chunks(1, vec![name.clone()]);
    for bytes in [Some(b"wrong".to_vec()), None] {
        let reply = kingcupford_fleet::ChunkReply { sha256: name.clone(), bytes };
        network.fleet("a-0").receive("a-1", Message::ChunkReply(reply), now);
        assert_eq!(network.fleet("a-0").documents().missing_chunks(), vec![name.clone()]);
    }
    let unrequested = b"unasked".to_vec();
    let reply = kingcupford_fleet::ChunkReply {
        sha256: chunk_sha256(&unrequested),
        bytes: Some(unrequested),
    };
    network.fleet("a-0").receive("a-1", Message::ChunkReply(reply), now);
    assert_eq!(
        network.fleet("a-0").documents().total_chunk_bytes(),
        0,
        "unrequested chunks fill memory"
    );
}

/// Guards against a chunk store that grows without limit or evicts chunks that the latest head
/// requires.
#[test]
fn chunk_store_retains_chunks_required_by_the_head() {
    let mut documents = Documents::new(1_000, Duration::from_millis(500));
    let required: Vec<Vec<u8>> = (0..5_u8).map(|it| vec![it; 300]).collect();
    documents.set_required_chunks(2, required.iter().map(|it| chunk_sha256(it)).collect());
    for chunk in &required {
        documents.insert_chunk(chunk);
    }
    for other in 100..120_u8 {
        documents.insert_chunk(&[other; 300]);
    }
    assert!(documents.missing_chunks().is_empty(), "required chunks may exceed the limit");
    assert_eq!(documents.total_chunk_bytes(), 1_500);
    // A delayed, older head changes nothing; a newer one permits eviction of the other chunks.
    documents.set_required_chunks(1, Vec::new());
    assert_eq!(documents.total_chunk_bytes(), 1_500);
    documents.set_required_chunks(3, vec![chunk_sha256(&required[4])]);
    assert!(documents.total_chunk_bytes() <= 1_000);
    assert!(documents.chunk(&chunk_sha256(&required[4])).is_some());
}

/// Guards against documents that are too large for a message and would be announced forever.
#[test]
fn document_above_the_limit_is_rejected() {
    let mut documents = Documents::new(1_000, Duration::from_millis(500));
    assert_eq!(documents.apply("config/head", 1, &vec![0; 1_000_000]), ApplyOutcome::Rejected);
    assert_eq!(documents.apply(&"n".repeat(300), 1, b""), ApplyOutcome::Rejected);
    assert_eq!(documents.apply("config/head", 2, b"a"), ApplyOutcome::Applied);
    assert_eq!(documents.apply("config/head", 2, b"b"), ApplyOutcome::Unchanged);
    assert_eq!(documents.apply("config/head", 1, b"c"), ApplyOutcome::Rejected);
    assert_eq!(&*documents.document("config/head").expect("present").bytes, b"a");
}

/// Event of a random history.
#[derive(Debug, Clone)]
enum Event {
    Apply { host: usize, version: u64 },
    Restart { host: usize },
    Cut { zone: usize },
    Heal,
    Pause { host: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..5_usize, 1..60_u64).prop_map(|(host, version)| Event::Apply { host, version }),
        2 => (0..5_usize).prop_map(|host| Event::Restart { host }),
        1 => (0..3_usize).prop_map(|zone| Event::Cut { zone }),
        1 => Just(Event::Heal),
        1 => (0..5_usize).prop_map(|host| Event::Pause { host }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a process that returns to an older version of a configuration, and against
    /// hosts that end with different versions, under loss, delay, duplication and restarts.
    #[test]
    fn versions_never_decrease(events in prop::collection::vec(event(), 1..25), seed in 0..1_000_u64) {
        let zones = [("a", 2), ("b", 2), ("c", 1)];
        let mut network = Network::new(&zones, seed);
        network.loss_rate = 0.2;
        network.duplication_rate = 0.2;
        network.max_jitter = secs(3);
        let mut seen = [0_u64; 5];
        let mut incarnation = 1;
        let mut check = |network: &mut Network, restarted: Option<usize>| {
            for (index, host) in network.hosts.iter().enumerate() {
                let version = version_of(network, index);
                if restarted == Some(index) {
                    seen[index] = 0;
                }
                assert!(version >= seen[index], "{} returned from {} to {version}", host.name, seen[index]);
                seen[index] = version;
            }
        };
        for event in events {
            let mut restarted = None;
            match event {
                Event::Apply { host, version } => {
                    network.hosts[host].fleet.apply_document("config/head", version, &version.to_le_bytes());
                }
                Event::Restart { host } => {
                    incarnation += 1;
                    let name = network.hosts[host].name.clone();
                    network.restart(&name, incarnation);
                    restarted = Some(host);
                }
                Event::Cut { zone } => {
                    network.cut_zones = vec![(zones[zone].0.to_owned(), "*".to_owned())];
                }
                Event::Heal => network.cut_zones.clear(),
                Event::Pause { host } => {
                    let name = network.hosts[host].name.clone();
                    network.pause(&name, secs(3));
                }
            }
            check(&mut network, restarted);
            network.run_with(millis(700), |it| check(it, None));
        }
        // The highest version that a process still has reaches all hosts.
        network.loss_rate = 0.0;
        network.cut_zones.clear();
        network.max_jitter = Duration::ZERO;
        let highest = (0..5).map(|index| version_of(&network, index)).max().unwrap_or(0);
        network.run_with(secs(20), |it| check(it, None));
        for index in 0..5 {
            prop_assert_eq!(version_of(&network, index), highest);
        }
    }

    /// Guards against received bytes that cause a panic or an allocation of the length they state.
    #[test]
    fn message_of_random_bytes_is_rejected_or_decodes(kind in 0..20_u16, bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(Some(message)) = Message::decode(kind, &bytes) {
            let encoded = message.encode().expect("what decodes also encodes");
            prop_assert_eq!(Message::decode(kind, &encoded).ok().flatten(), Some(message));
        }
    }
}

/// Guards against incompatibility with messages of later versions of the system.
#[test]
fn message_of_a_later_version_is_decoded() {
    let request = Message::ChunkRequest(kingcupford_fleet::ChunkRequest { sha256: "ab".into() });
    let mut payload = request.encode().expect("encodes");
    payload.extend_from_slice(b"a field of a later version");
    assert_eq!(Message::decode(4, &payload).ok().flatten(), Some(request));
    assert!(matches!(Message::decode(900, &payload), Ok(None)));
    // States a length of 2^60 bytes in a payload of nine bytes.
    let huge = [253, 0, 0, 0, 0, 0, 0, 0, 16];
    assert!(Message::decode(4, &huge).is_err());
}

fn version_of(network: &Network, index: usize) -> u64 {
    network.hosts[index].fleet.document("config/head").map_or(0, |it| it.version)
}

fn all_hosts_have(network: &Network, version: u64) -> bool {
    (0..network.hosts.len()).all(|index| version_of(network, index) == version)
}
