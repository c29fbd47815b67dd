//! Tests that frames of version 1 stay decodable. Samples may be added but never changed.

#![allow(clippy::unwrap_used)]

mod sample;

use bytes::BytesMut;
use goldcrestvale_wire::{
    codec::Opened,
    message::{ConfigAsk, Sends},
    prelude::*,
};
use prost::Message as _;
use sample::{MAX_FRAME_BYTES, extended_messages, keys, later_messages, messages, sessions};
use tokio_util::codec::{Decoder, Encoder};

/// The first frame of a dialer with nonce `01..` under the secret `07..`.
const PREAMBLE: &str =
    "000000240100000101010101010101010101010101010101d6885fc31172e91def34413448e66221";

/// The frames that this dialer sends to a listener with nonce `02..`: one message of each of the
/// first kinds, then those with later fields, then later kinds.
const FRAMES: [&str; 24] = [
    "000000440100010a1003030303030303030303030303030303120679656b612d311a0479656b61220d31302e302e302e313a373030302801cf2a0f0d3ca407d4ca964dff348c3e88",
    "0000002401000208091005190807060504030201200128029f10fcf844c696b4e2eefb440daee7ad",
    "000000250100030a1003030303030303030303030303030303be658cd468a3d7797b858ce84e1d68c7",
    "0000004d0100040a380a310a1003030303030303030303030303030303120679656b612d311a0479656b61220d31302e302e302e313a37303030280110dc0b18011dc6e3db87609b63bb31610ed01c315d",
    "0000002c0100050a170a08656e67696e652d341202613118042080d095ffbc318c755d7f1330309574ce7814652472c5",
    "00000037010006080412200404040404040404040404040404040404040404040404040404040404040404dc6681ca5bfe22d388a918e51d230ded",
    "000000150100070804f1a3a6f58015abda0a3545523b5e6d15",
    "00000040010008080412200404040404040404040404040404040404040404040404040404040404040404180120022a03090909e3652ecacd278b17786b1963a113a97d",
    "0000004901000908071210050505050505050505050505050505051a20060606060606060606060606060606060606060606060606060606060606060690d9b254293c14e9bee230d15cf919e6",
    "0000003a01000a0807100118c901221a0a0c636f6e74656e742d74797065120a746578742f706c61696e2a02787828850afc747af5a1c8623a0b457ecf7b",
    "0000002b01000b0803100218b817220f0a076c6162656c2d311080b518180759fedacf012ec0023ccb8e61e3c68f4b",
    "0000002201000c0a0801000000ffffffff12030aac023c092a43d76a2e9d2f0304dbaabe7837",
    "0000001301000d1fae220220825a2d29b59f75bd6cc97e",
    "0000001d01000e0880d095ffbc3112017b6df7719e62206cfaba9e13b5e78c7bec",
    "0000002401000f0a0f0a08656e67696e652d3410b8171801feee138960946336c3853149b7d73b73",
    "0000001f01001008021046185a2098112a015b67434a1eafa2c2717abb0a762b8141c1",
    "0000005f0100110a300a08656e67696e652d341080d095ffbc311a1d09050000000000000012100600000000000000ffffffffffffffff1801120807000000000000001a0e0a08080000000000000010c0cf248ff2498ce7381e0ce322251ac6a123b9",
    "0000004a010011221c09050000000000000012110a066465736b2d311080d095ffbc3118282a080600000000000000320d09070000000000000010e0d403fe61e6268155951965be23a01b2f999a",
    "00000018010002080938903f4d307ee5aabf51aaa5b43f8c70486418",
    "0000002701000c0a0801000000ffffffff12030aac021a03a84600036b55a54a9aa888fece00bf5e0e5f58",
    "000000240100120a0f0dffffffff150200000018ac02200141b762ac442d872339f19c450d9f9477",
    "0000002c0100130a0d0dffffffff105c1880f104202812080d0700000010e01254d222d365ecf6c38dddf1f2ab2e0c28",
    "0000004f0100140a110dffffffff11000000000000001018d00f12140d0700000011ffffffffffffffff18ac0220e8071a110d0700000011010000000000000018fa01ad2c9d4fff2744a00c63ca527e876f48",
    "00000039010007080910041a20040404040404040404040404040404040404040404040404040404040404040478661570e13b96f4515c6de8790d0ea9",
];

/// A heartbeat of version 1 with an additional unknown field.
const EXTENDED_HEARTBEAT: &str = "0809f8072a";

fn bytes(hex: &str) -> BytesMut {
    let digits = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
    digits.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect::<Vec<_>>()[..].into()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn samples() -> Vec<Message> {
    let messages = messages().into_iter().chain(extended_messages());
    messages.chain(later_messages()).collect()
}

#[test]
fn samples_of_version_1_decode() {
    let ring = keys(7);
    let listener = Handshake::new(Role::Listener, [2; 16], &ring);
    let mut session = listener.accept(&bytes(PREAMBLE)[4..], MAX_FRAME_BYTES).unwrap();
    assert_eq!(FRAMES.len(), samples().len());
    for (frame, expected) in FRAMES.iter().zip(samples()) {
        let opened = session.opener.decode(&mut bytes(frame)).unwrap();
        assert_eq!(opened, Some(Opened::Known(expected)));
    }
}

#[test]
fn this_version_writes_the_same_bytes() {
    let ring = keys(7);
    let preamble = Handshake::new(Role::Dialer, [1; 16], &ring).preamble();
    assert_eq!(hex(&preamble), PREAMBLE);
    let (mut dialer, _) = sessions(&ring, &ring);
    for (frame, message) in FRAMES.iter().zip(samples()) {
        let mut out = BytesMut::new();
        dialer.sealer.encode(message, &mut out).unwrap();
        assert_eq!(&hex(&out), frame);
    }
}

/// Work in flight as builds without tokens define it.
#[derive(Clone, PartialEq, prost::Message)]
struct OlderSends {
    #[prost(fixed32, repeated, tag = "1")]
    upstreams: Vec<u32>,
    #[prost(uint64, repeated, tag = "2")]
    units: Vec<u64>,
}

/// Guards against reports of work that builds without tokens cannot read, and the reverse.
#[test]
fn tokens_are_optional() {
    let (upstreams, units) = (vec![1, 7], vec![10, 300]);
    let sends =
        Sends { upstreams: upstreams.clone(), units: units.clone(), tokens: vec![9_000, 0] };
    let older = OlderSends { upstreams: upstreams.clone(), units: units.clone() };
    assert_eq!(OlderSends::decode(&sends.encode_to_vec()[..]).unwrap(), older);
    let decoded = Message::decode(12, older.encode_to_vec().into()).unwrap();
    assert_eq!(decoded, Some(Sends { upstreams, units, tokens: Vec::new() }.into()));
}

#[test]
fn unknown_fields_are_skipped() {
    let decoded = Message::decode(2, bytes(EXTENDED_HEARTBEAT).freeze()).unwrap();
    let Some(Message::Heartbeat(heartbeat)) = decoded else { panic!("{decoded:?}") };
    assert_eq!(heartbeat.sequence, 9);
}

/// Guards against requests for changes that builds without them cannot read, and the reverse.
#[test]
fn held_versions_are_optional() {
    /// A request as builds without changes define it.
    #[derive(Clone, PartialEq, prost::Message)]
    struct OlderAsk {
        #[prost(uint64, tag = "1")]
        version: u64,
    }

    let ask = ConfigAsk { version: 9, held: 4, held_digest: vec![4; 32].into() };
    assert_eq!(OlderAsk::decode(&ask.encode_to_vec()[..]).unwrap(), OlderAsk { version: 9 });
    let decoded = Message::decode(7, OlderAsk { version: 9 }.encode_to_vec().into()).unwrap();
    assert_eq!(decoded, Some(ConfigAsk { version: 9, ..ConfigAsk::default() }.into()));
}

/// Guards against a connection that ends when a peer of a newer build reports customers' streams.
#[test]
fn decoder_without_the_kind_skips_customer_loads() {
    #[derive(Clone, PartialEq, prost::Message)]
    struct NoFields {}

    let load = later_messages().remove(0);
    assert_eq!(load.kind(), 18);
    // An older build knows kinds up to 17 and reports any other one as unknown; see
    // `newer_kinds_and_versions_are_skipped`. An unknown kind takes the same path here.
    assert_eq!(Message::decode(u16::MAX, load.encode_body()).unwrap(), None);
    // A build that knows the kind but none of its fields skips them.
    assert!(<NoFields as prost::Message>::decode(load.encode_body()).is_ok());
}

/// Guards against a changed meaning of customers' streams when a newer build adds a field to them.
#[test]
fn unknown_fields_of_customer_loads_are_skipped() {
    let body = bytes("0a0f0dffffffff150200000018ac022a001200").freeze();
    let Message::CustomerLoad(expected) = later_messages().remove(0) else { panic!("kind 18") };
    let Some(Message::CustomerLoad(decoded)) = Message::decode(18, body).unwrap() else {
        panic!("kind 18")
    };
    assert_eq!(decoded.loads[0].running, expected.loads[0].running);
}

/// The body of a chain limit with an additional unknown field.
const EXTENDED_CHAIN_LIMITS: &str = "0a070d01000000105cf8072a";

/// Guards against a connection that ends, or a later message that is lost, when a newer build sends
/// a kind that this one does not know.
#[test]
fn unknown_kinds_are_skipped() {
    let body = later_messages()[0].encode_body();
    assert_eq!(Message::decode(u16::MAX, body).unwrap(), None);
}

#[test]
fn unknown_fields_of_limits_are_skipped() {
    let decoded = Message::decode(19, bytes(EXTENDED_CHAIN_LIMITS).freeze()).unwrap();
    let Some(Message::ChainLimits(decoded)) = decoded else { panic!("{decoded:?}") };
    assert_eq!((decoded.limits[0].upstream, decoded.limits[0].streams), (1, 92));
    assert!(decoded.demands.is_empty());
}

/// Retry loans with an additional unknown field in the request.
const EXTENDED_RETRY_LOANS: &str = "0a150d0700000011090000000000000018022801f8072a";

/// Guards against loans whose meaning changes when a newer build adds a field to them.
#[test]
fn unknown_fields_of_loans_are_skipped() {
    let decoded = Message::decode(20, bytes(EXTENDED_RETRY_LOANS).freeze()).unwrap();
    let Some(Message::RetryLoans(decoded)) = decoded else { panic!("{decoded:?}") };
    assert_eq!((decoded.asks[0].sequence, decoded.asks[0].milli_retries), (9, 2));
    assert!(decoded.grants.is_empty());
}
