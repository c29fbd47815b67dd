//! Sample messages and connections.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use bytes::{Bytes, BytesMut};
use goldcrestvale_wire::{codec::Opened, message::*, prelude::*};
use tokio_util::codec::{Decoder, Encoder};

pub const MAX_FRAME_BYTES: usize = 4_096;

pub fn keys(byte: u8) -> Keyring {
    Keyring::new(Secret::new([byte; 32]))
}

/// Creates the sessions of both sides, the dialer first.
pub fn sessions(dialer: &Keyring, listener: &Keyring) -> (Session, Session) {
    let dialer = Handshake::new(Role::Dialer, [1; 16], dialer);
    let listener = Handshake::new(Role::Listener, [2; 16], listener);
    let (hello, answer) = (dialer.preamble(), listener.preamble());
    (
        dialer.accept(&answer[4..], MAX_FRAME_BYTES).unwrap(),
        listener.accept(&hello[4..], MAX_FRAME_BYTES).unwrap(),
    )
}

pub fn seal(sealer: &mut Sealer, message: Message) -> BytesMut {
    let mut out = BytesMut::new();
    sealer.encode(message, &mut out).unwrap();
    out
}

pub fn open(opener: &mut Opener, mut bytes: BytesMut) -> goldcrestvale_wire::codec::Result<Opened> {
    opener.decode(&mut bytes).map(|opened| opened.expect("a complete frame"))
}

fn bytes(byte: u8, length: usize) -> Bytes {
    vec![byte; length].into()
}

/// Returns one message of each of the first kinds, in the order of their kinds.
pub fn messages() -> Vec<Message> {
    let hello = Hello {
        incarnation: bytes(3, 16),
        instance: "yeka-1".into(),
        domain: "yeka".into(),
        address: "10.0.0.1:7000".into(),
        version: 1,
    };
    let known = Known { who: Some(hello.clone()), age_ms: 1_500, gone: true };
    let mark = Mark {
        upstream: "engine-4".into(),
        incarnation: "a1".into(),
        source: Source::Operator.into(),
        as_of_ms: 1_700_000_000_000,
    };
    let header = Header { name: "content-type".into(), value: "text/plain".into() };
    let used = CustomerUse { customer: "label-1".into(), need: 400_000, lent: 7 };
    let state = AnswerState::Settled.into();
    vec![
        hello.into(),
        Heartbeat {
            sequence: 9,
            config_version: 5,
            config_digest: 0x0102_0304_0506_0708,
            draining: true,
            schema: 2,
            leads: false,
            ..Heartbeat::default()
        }
        .into(),
        Goodbye { incarnation: bytes(3, 16) }.into(),
        Members { known: vec![known] }.into(),
        Leaving { marks: vec![mark] }.into(),
        ConfigOffer { version: 4, digest: bytes(4, 32) }.into(),
        ConfigAsk { version: 4, ..ConfigAsk::default() }.into(),
        ConfigState { version: 4, digest: bytes(4, 32), part: 1, parts: 2, bytes: bytes(9, 3) }
            .into(),
        AnswerAsk { ask: 7, key: bytes(5, 16), digest: bytes(6, 32) }.into(),
        Answer { ask: 7, state, status: 201, headers: vec![header], body: bytes(b'x', 2) }.into(),
        Use { sequence: 3, echo: 2, hold_ms: 3_000, customers: vec![used] }.into(),
        Sends { upstreams: vec![1, 0xffff_ffff], units: vec![10, 300], ..Sends::default() }.into(),
        ListAsk {}.into(),
        List { as_of_ms: 1_700_000_000_000, bytes: bytes(b'{', 1), ..List::default() }.into(),
        Silent {
            upstreams: vec![Silence { upstream: "engine-4".into(), left_ms: 3_000, refuses: true }],
        }
        .into(),
        Changes {
            scope: Scope::Amendments.into(),
            from: 70,
            next: 90,
            grace_ms: 2_200,
            bytes: bytes(b'[', 1),
        }
        .into(),
        Evidence {
            crashes: vec![Crash {
                upstream: "engine-4".into(),
                born_ms: 1_700_000_000_000,
                suspects: vec![Suspect { request: 5, parts: vec![6, u64::MAX], begun: true }],
            }],
            sound: vec![7],
            holds: vec![Hold { parts: vec![8], left_ms: 600_000 }],
            ..Evidence::default()
        }
        .into(),
    ]
}

/// Returns messages of kinds that have got further fields since, each with these fields.
pub fn extended_messages() -> Vec<Message> {
    vec![
        Evidence {
            suspects: vec![SuspectRequest {
                request: 5,
                ends: vec![End {
                    upstream: "desk-1".into(),
                    born_ms: 1_700_000_000_000,
                    age_ms: 40,
                }],
            }],
            answered: vec![6],
            request_holds: vec![RequestHold { request: 7, left_ms: 60_000 }],
            ..Evidence::default()
        }
        .into(),
        Heartbeat { sequence: 9, relay_port: 8_080, ..Heartbeat::default() }.into(),
        Sends { upstreams: vec![1, 0xffff_ffff], units: vec![10, 300], tokens: vec![9_000, 0] }
            .into(),
    ]
}

/// Returns one message of each kind that was added or extended after the extended messages.
pub fn later_messages() -> Vec<Message> {
    vec![
        CustomerLoad {
            loads: vec![CustomerCount {
                customer: 0xffff_ffff,
                service: 2,
                running: 300,
                waiting: 1,
            }],
        }
        .into(),
        ChainLimits {
            limits: vec![ChainLimit {
                upstream: 0xffff_ffff,
                streams: 92,
                token_capacity: 80_000,
                age_ms: 40,
            }],
            demands: vec![Demand { service: 7, milli_streams: 2_400 }],
        }
        .into(),
        RetryLoans {
            asks: vec![RetryAsk { service: 0xffff_ffff, sequence: 1 << 60, milli_retries: 2_000 }],
            grants: vec![RetryGrant {
                service: 7,
                sequence: u64::MAX,
                milli_retries: 300,
                hold_ms: 1_000,
            }],
            returns: vec![RetryReturn { service: 7, sequence: 1, milli_retries: 250 }],
        }
        .into(),
        ConfigAsk { version: 9, held: 4, held_digest: bytes(4, 32) }.into(),
    ]
}
