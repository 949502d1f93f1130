//! Decoding of messages between hosts.

use kingcupford_engine::Message;
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
