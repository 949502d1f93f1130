//! The frame codec against every kind of input.

use bytes::BytesMut;
use kingcupford_peer::{Frame, FrameDecoder, FrameError, MAX_FRAME_BYTES};
use proptest::{prelude::*, test_runner::RngSeed};

/// Guards against frames at the limit that the sender takes and the receiver refuses.
#[test]
fn frame_size_limit_is_the_same_on_both_sides() {
    let mut buffer = BytesMut::new();
    let largest = Frame::new(3, vec![1; MAX_FRAME_BYTES - 16]);
    largest.encode_to(&mut buffer).expect("below the limit");
    let mut decoder = FrameDecoder::default();
    decoder.push(&buffer);
    assert_eq!(decoder.next_frame().expect("decodes").map(|it| it.0), Some(largest));
    buffer.clear();
    for size_bytes in [MAX_FRAME_BYTES - 1, MAX_FRAME_BYTES, MAX_FRAME_BYTES * 3] {
        let refused = Frame::new(3, vec![1; size_bytes]).encode_to(&mut buffer);
        assert!(matches!(refused, Err(FrameError::TooLarge { .. })), "{refused:?}");
        assert!(buffer.is_empty(), "a refused frame leaves bytes on the stream");
    }
}

/// Guards against memory reserved for a length that a hostile peer only announces.
#[test]
fn frame_announced_too_large_is_refused_before_it_arrives() {
    let mut decoder = FrameDecoder::default();
    decoder.push(&u32::MAX.to_be_bytes());
    assert_eq!(decoder.next_frame(), Err(FrameError::TooLarge { size_bytes: u32::MAX as usize }));
    // The payload's own length, 2^62 bytes, inside a frame of eleven.
    let mut decoder = FrameDecoder::default();
    decoder.push(&11_u32.to_be_bytes());
    decoder.push(&[1, 1, 253, 0, 0, 0, 0, 0, 0, 0, 64]);
    assert!(matches!(decoder.next_frame(), Err(FrameError::Malformed { .. })));
}

/// Guards against a stream that is cut inside a frame and taken as complete.
#[test]
fn frame_truncated_is_noticed_at_the_end() {
    let mut buffer = BytesMut::new();
    Frame::new(2, vec![7; 100]).encode_to(&mut buffer).expect("encodes");
    let mut decoder = FrameDecoder::default();
    decoder.push(&buffer[..50]);
    assert_eq!(decoder.next_frame(), Ok(None));
    assert_eq!(decoder.finish(), Err(FrameError::Truncated));
    decoder.push(&buffer[50..]);
    assert!(decoder.next_frame().expect("decodes").is_some());
    assert_eq!(decoder.finish(), Ok(()));
}

/// Guards against a later version of the system whose longer frames an older one refuses.
#[test]
fn frame_with_trailing_bytes_decodes() {
    let mut buffer = BytesMut::new();
    let frame = Frame::new(2, vec![7; 10]);
    let size_bytes = frame.encode_to(&mut buffer).expect("encodes");
    let mut longer = BytesMut::new();
    longer.extend_from_slice(&u32::try_from(size_bytes - 4 + 3).expect("small").to_be_bytes());
    longer.extend_from_slice(&buffer[4..]);
    longer.extend_from_slice(b"new");
    let mut decoder = FrameDecoder::default();
    decoder.push(&longer);
    decoder.push(&buffer);
    for _ in 0..2 {
        assert_eq!(decoder.next_frame().expect("decodes").map(|it| it.0).as_ref(), Some(&frame));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(411),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against random bytes that end the process, and against frames that depend on how
    /// the network cut the stream.
    #[test]
    fn decoder_of_random_bytes_does_not_depend_on_cuts(
        mut bytes in prop::collection::vec(any::<u8>(), 0..400),
        small_lengths in any::<bool>(),
        cut in 1..40_usize,
    ) {
        if small_lengths && bytes.len() > 4 {
            // Otherwise nearly every input ends with the first, huge length.
            bytes[..3].fill(0);
            bytes[3] %= 32;
        }
        let decode = |parts: &mut dyn Iterator<Item = &[u8]>| {
            let mut decoder = FrameDecoder::default();
            let mut frames = Vec::new();
            for part in parts {
                decoder.push(part);
                loop {
                    match decoder.next_frame() {
                        Ok(Some(it)) => frames.push(it),
                        Ok(None) => break,
                        Err(error) => return (frames, Some(error)),
                    }
                }
            }
            (frames, decoder.finish().err())
        };
        let whole = decode(&mut std::iter::once(bytes.as_slice()));
        prop_assert_eq!(whole, decode(&mut bytes.chunks(cut)));
    }

    /// Guards against frames that arrive changed.
    #[test]
    fn frame_survives_encoding(
        kind in any::<u16>(),
        payload in prop::collection::vec(any::<u8>(), 0..2_000),
        cut in 1..500_usize,
    ) {
        let frame = Frame::new(kind, payload);
        let mut buffer = BytesMut::new();
        let size_bytes = frame.encode_to(&mut buffer).expect("encodes");
        prop_assert_eq!(size_bytes, buffer.len());
        let mut decoder = FrameDecoder::default();
        for part in buffer.chunks(cut) {
            prop_assert_eq!(decoder.next_frame(), Ok(None));
            decoder.push(part);
        }
        prop_assert_eq!(decoder.next_frame(), Ok(Some((frame, size_bytes))));
    }
}
