//! Decoding of messages between hosts.

use kingcupford_engine::{Message, RolloutStop};
use kingcupford_rollout::{Evidence, Reason, RolloutKey, RouteEvidence, Tally};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Numbers of message kinds: those in use and some that are unknown.
const MESSAGE_KINDS: std::ops::Range<u16> = 0..64;

proptest! {
    #![proptest_config(Config { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(4), ..Config::default() })]

    /// Guards against panics and excessive allocations on hostile or damaged payloads.
    #[test]
    fn decode_random_bytes(
        kind in MESSAGE_KINDS,
        payload in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let _ = Message::decode(kind, &payload);
    }

    /// Guards against allocations for a stated length that is far above the size of the payload.
    #[test]
    fn decode_stated_length(kind in MESSAGE_KINDS, length in any::<u64>()) {
        let mut payload = vec![253];
        payload.extend(length.to_le_bytes());
        let _ = Message::decode(kind, &payload);
    }

    /// Guards against errors on messages of peers of later versions, whose payloads are longer and
    /// whose kinds may be unknown.
    #[test]
    fn decode_trailing_bytes(trailing in proptest::collection::vec(any::<u8>(), 0..50)) {
        let message = Message::Reports(vec![kingcupford_engine::InstanceReport {
            instance: "k1".to_owned(),
            in_flight: 3,
            draining: true,
            age_ms: 5,
        }]);
        let mut payload = message.encode().expect("encodes");
        payload.extend(trailing);
        let decoded = Message::decode(message.kind(), &payload).expect("decodes");
        prop_assert!(matches!(decoded, Some(Message::Reports(it)) if it[0].in_flight == 3));
        prop_assert!(matches!(Message::decode(60_000, &payload), Ok(None)));
    }
}

/// Guards against stops and evidence that hosts of earlier versions, which name a rollout by its
/// generation only, cannot exchange with hosts of this version.
#[test]
fn decode_rollout_without_start() {
    let config = bincode::config::standard();
    let rollout = RolloutKey { generation: 3, started_unix_ms: 1_000_000 };
    let without_start = RolloutKey { started_unix_ms: 0, ..rollout };
    let (service, reason) = ("katalog".to_owned(), Reason::Unproven);

    let earlier = bincode::encode_to_vec((&service, 3u64, &reason), config).expect("encodes");
    let stop = RolloutStop { service: service.clone(), rollout, reason };
    let message = Message::RolloutStop(stop.clone());
    let payload = message.encode().expect("encodes");
    assert!(payload.starts_with(&earlier));
    for (payload, rollout) in [(payload, rollout), (earlier, without_start)] {
        let decoded = Message::decode(message.kind(), &payload).expect("decodes");
        let Some(Message::RolloutStop(decoded)) = decoded else { panic!("{decoded:?}") };
        assert_eq!(decoded, RolloutStop { rollout, ..stop.clone() });
    }

    let host = "entry-1".to_owned();
    let old = Tally { requests: 300, ..Tally::default() };
    let new = Tally { requests: 3, failures: 1, ..Tally::default() };
    let routes = vec![RouteEvidence { route: "/".to_owned(), share_percent: 1, old, new }];
    let fields = (&host, 7u64, &service, 3u64, &routes);
    let earlier = bincode::encode_to_vec(fields, config).expect("encodes");
    let evidence = Evidence { host, incarnation: 7, service, rollout, routes };
    let message = Message::RolloutEvidence(evidence.clone());
    let payload = message.encode().expect("encodes");
    assert!(payload.starts_with(&earlier));
    for (payload, rollout) in [(payload, rollout), (earlier, without_start)] {
        let decoded = Message::decode(message.kind(), &payload).expect("decodes");
        let Some(Message::RolloutEvidence(decoded)) = decoded else { panic!("{decoded:?}") };
        assert_eq!(decoded, Evidence { rollout, ..evidence.clone() });
    }
}
