//! Tests that a forged, reordered or oversized frame ends the connection.

mod sample;

use bytes::{Bytes, BytesMut};
use goldcrestvale_wire::{
    codec::{Error, Opened},
    frame::{Frame, VERSION},
    handshake,
    message::{ConfigAsk, Message},
    prelude::*,
};
use proptest::{prelude::*, test_runner::RngSeed};
use sample::{MAX_FRAME_BYTES, keys, messages, open, seal, sessions};
use tokio_util::codec::{Decoder, Encoder};

fn request(version: u64) -> Message {
    ConfigAsk { version, ..ConfigAsk::default() }.into()
}

#[test]
fn every_message_is_decoded_in_both_directions() {
    let (mut dialer, mut listener) = sessions(&keys(7), &keys(7));
    for (index, message) in messages().into_iter().enumerate() {
        assert_eq!(usize::from(message.kind()), index + 1);
        let forward = seal(&mut dialer.sealer, message.clone());
        assert_eq!(open(&mut listener.opener, forward).unwrap(), Opened::Known(message.clone()));
        let back = seal(&mut listener.sealer, message.clone());
        assert_eq!(open(&mut dialer.opener, back).unwrap(), Opened::Known(message));
    }
}

#[test]
fn rotation_keeps_every_pair_connected() {
    let (old, new) = (Secret::new([1; 32]), Secret::new([2; 32]));
    let steps = [
        Keyring::new(old.clone()),
        Keyring::new(old.clone()).accept(new.clone()),
        Keyring::new(new.clone()).accept(old),
        Keyring::new(new),
    ];
    for pair in steps.windows(2) {
        for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let (mut dialer, mut listener) = sessions(from, to);
            let forward = seal(&mut dialer.sealer, request(1));
            assert_eq!(open(&mut listener.opener, forward).unwrap(), Opened::Known(request(1)));
            let back = seal(&mut listener.sealer, request(2));
            assert_eq!(open(&mut dialer.opener, back).unwrap(), Opened::Known(request(2)));
        }
    }
}

#[test]
fn first_frames_with_unknown_secrets_are_refused() {
    let (own, other) = (keys(1), keys(2));
    let accept = |preamble: &[u8]| {
        Handshake::new(Role::Dialer, [1; 16], &own)
            .accept(preamble, MAX_FRAME_BYTES)
            .map(|_| ())
            .unwrap_err()
    };
    let unknown = Handshake::new(Role::Listener, [2; 16], &other).preamble();
    assert_eq!(accept(&unknown[4..]), handshake::Error::Tag);
    let reflected = Handshake::new(Role::Dialer, [1; 16], &own).preamble();
    assert_eq!(accept(&reflected[4..]), handshake::Error::Reflected);
    assert_eq!(accept(&[]), handshake::Error::Tag);
    assert_eq!(accept(&[0; 300]), handshake::Error::Oversized { length: 300 });
}

#[test]
fn a_recorded_connection_cannot_be_replayed() {
    let (mut dialer, mut listener) = sessions(&keys(7), &keys(7));
    let recorded = seal(&mut dialer.sealer, request(1));
    open(&mut listener.opener, recorded.clone()).unwrap();
    let replayed = open(&mut listener.opener, recorded.clone()).unwrap_err();
    assert!(matches!(replayed, Error::Tag { counter: 1 }), "{replayed}");

    // A new connection to the same listener, with the recorded first frame of the dialer.
    let ring = keys(7);
    let new_listener = Handshake::new(Role::Listener, [3; 16], &ring);
    let hello = Handshake::new(Role::Dialer, [1; 16], &ring).preamble();
    let mut session = new_listener.accept(&hello[4..], MAX_FRAME_BYTES).unwrap();
    let replayed = open(&mut session.opener, recorded).unwrap_err();
    assert!(matches!(replayed, Error::Tag { counter: 0 }), "{replayed}");
}

#[test]
fn reordered_dropped_and_reflected_frames_end_the_connection() {
    let (mut dialer, mut listener) = sessions(&keys(7), &keys(7));
    let first = seal(&mut dialer.sealer, request(1));
    let second = seal(&mut dialer.sealer, request(2));
    assert!(matches!(open(&mut listener.opener, second), Err(Error::Tag { counter: 0 })));
    assert!(matches!(open(&mut dialer.opener, first), Err(Error::Tag { counter: 0 })));
}

#[test]
fn newer_kinds_and_versions_are_skipped() {
    let (mut dialer, mut listener) = sessions(&keys(7), &keys(7));
    let body = Bytes::from_static(b"\xff\xff");
    let newer = [Frame::new(999, body.clone()), Frame { version: VERSION + 1, kind: 2, body }];
    for frame in newer {
        let mut out = BytesMut::new();
        dialer.sealer.encode_frame(&frame, &mut out).unwrap();
        let expected = Opened::Unknown { version: frame.version, kind: frame.kind };
        assert_eq!(open(&mut listener.opener, out).unwrap(), expected);
    }
    let after = seal(&mut dialer.sealer, request(1));
    assert_eq!(open(&mut listener.opener, after).unwrap(), Opened::Known(request(1)));
}

#[test]
fn malformed_bodies_and_long_frames_end_the_connection() {
    let (mut dialer, mut listener) = sessions(&keys(7), &keys(7));
    let mut out = BytesMut::new();
    dialer.sealer.encode_frame(&Frame::new(2, Bytes::from_static(b"\xff")), &mut out).unwrap();
    assert!(matches!(open(&mut listener.opener, out), Err(Error::Body { counter: 0, .. })));

    let (mut dialer, mut listener) = sessions(&keys(7), &keys(7));
    let long = Frame::new(2, vec![0; MAX_FRAME_BYTES].into());
    assert!(dialer.sealer.encode_frame(&long, &mut BytesMut::new()).is_err());
    let mut prefix = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    assert!(matches!(
        listener.opener.decode(&mut prefix),
        Err(Error::Oversized { max_frame_bytes: MAX_FRAME_BYTES })
    ));
}

#[test]
fn a_message_of_maximum_length_fits_and_one_byte_more_does_not() {
    let (mut dialer, _) = sessions(&keys(7), &keys(7));
    let state = |length: usize| {
        let bytes = vec![1; length].into();
        Message::from(goldcrestvale_wire::message::ConfigState { bytes, ..Default::default() })
    };
    let overhead = state(3_000).body_len() - 3_000;
    let max_bytes = MAX_FRAME_BYTES - goldcrestvale_wire::frame::HEADER_BYTES - 16 - overhead;
    assert!(dialer.sealer.fits(&state(max_bytes)) && !dialer.sealer.fits(&state(max_bytes + 1)));
    dialer.sealer.encode(state(max_bytes), &mut BytesMut::new()).unwrap();
    assert!(dialer.sealer.encode(state(max_bytes + 1), &mut BytesMut::new()).is_err());
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn a_flipped_bit_is_always_detected(which in 0_usize..14, bit in any::<prop::sample::Index>()) {
        let (mut dialer, mut listener) = sessions(&keys(7), &keys(7));
        let mut sealed = seal(&mut dialer.sealer, messages().swap_remove(which));
        let bit = bit.index((sealed.len() - 4) * 8);
        sealed[4 + bit / 8] ^= 1 << (bit % 8);
        let flipped = open(&mut listener.opener, sealed);
        let rejected = matches!(flipped, Err(Error::Tag { counter: 0 }));
        prop_assert!(rejected);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let ring = keys(7);
        let result = Handshake::new(Role::Dialer, [1; 16], &ring).accept(&bytes, MAX_FRAME_BYTES);
        prop_assert!(result.is_err());
        let (_, mut listener) = sessions(&ring, &ring);
        let mut buffer = BytesMut::from(&bytes[..]);
        if let Ok(Some(opened)) = listener.opener.decode(&mut buffer) {
            prop_assert!(false, "accepted {opened:?}");
        }
        for kind in 0..16 {
            let _ = Message::decode(kind, bytes.clone().into());
        }
    }

    #[test]
    fn frames_split_anywhere_decode_the_same(cuts in prop::collection::vec(1_usize..60, 1..40)) {
        let (mut dialer, mut listener) = sessions(&keys(7), &keys(7));
        let mut stream = BytesMut::new();
        for message in messages() {
            dialer.sealer.encode(message, &mut stream).unwrap();
        }
        let (mut buffer, mut decoded) = (BytesMut::new(), Vec::new());
        for cut in cuts.iter().cycle() {
            if stream.is_empty() {
                break;
            }
            buffer.extend(stream.split_to(stream.len().min(*cut)));
            while let Some(Opened::Known(message)) = listener.opener.decode(&mut buffer).unwrap() {
                decoded.push(message);
            }
        }
        prop_assert_eq!(decoded, messages());
    }

    #[test]
    fn decoded_messages_survive_another_round_trip(
        kind in 1_u16..15,
        mutations in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
    ) {
        let sample = messages().swap_remove(usize::from(kind) - 1);
        let mut body = sample.encode_body().to_vec();
        for (index, byte) in mutations {
            if !body.is_empty() {
                let index = index.index(body.len());
                body[index] = byte;
            }
        }
        if let Ok(Some(message)) = Message::decode(kind, body.into()) {
            let decoded = Message::decode(kind, message.encode_body()).unwrap();
            prop_assert_eq!(decoded, Some(message));
        }
    }
}
