//! Faulty and hostile connections end alone, and are counted.
#![allow(clippy::unwrap_used)]

mod mesh;

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use goldcrestvale_base::id::{Digest, Offset};
use goldcrestvale_member::prelude::{Identity, Notice};
use goldcrestvale_peer::{count::Values, events::Configuration};
use goldcrestvale_wire::{
    field,
    frame::{Frame, VERSION},
    message::{Hello, Leaving, Mark, Message},
    prelude::*,
};
use mesh::{Daemon, LIMIT, Peer, Told, identity, keys, mesh, start, start_with};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
};
use tokio_util::codec::{FramedRead, FramedWrite};

/// The test's own side of a connection.
struct Wire {
    reader: FramedRead<OwnedReadHalf, Opener>,
    writer: FramedWrite<OwnedWriteHalf, Sealer>,
}

fn hello(who: &Identity) -> Hello {
    Hello {
        incarnation: field::encode_incarnation(who.incarnation),
        instance: who.instance.to_string(),
        domain: who.domain.to_string(),
        address: who.address.to_string(),
        version: 1,
    }
}

/// Dials a peer as an instance that answers for itself.
async fn dial(peer: &Peer, ring: &Keyring, name: usize) -> Option<Wire> {
    let stream = TcpStream::connect(peer.identity.address).await.unwrap();
    let (mut read, mut write) = stream.into_split();
    let handshake = Handshake::new(Role::Dialer, [9; 16], ring);
    write.write_all(&handshake.preamble()).await.unwrap();
    let mut preamble = vec![0; read.read_u32().await.ok()? as usize];
    read.read_exact(&mut preamble).await.ok()?;
    let session = handshake.accept(&preamble, 1 << 20).ok()?;
    let mut wire = Wire {
        reader: FramedRead::new(read, session.opener),
        writer: FramedWrite::new(write, session.sealer),
    };
    let who = identity(name, 500 + name as u128, "127.0.0.1:1".parse().unwrap());
    wire.writer.send(hello(&who).into()).await.unwrap();
    wire.reader.next().await?.ok()?;
    Some(wire)
}

impl Wire {
    async fn send_raw(&mut self, bytes: &[u8]) {
        self.writer.get_mut().write_all(bytes).await.unwrap();
    }

    async fn send_frame(&mut self, frame: &Frame) {
        let mut out = BytesMut::new();
        self.writer.encoder_mut().encode_frame(frame, &mut out).unwrap();
        self.send_raw(&out).await;
    }

    /// Waits until the other side closes the connection.
    async fn until_closed(mut self) {
        let closed = async { while let Some(Ok(_)) = self.reader.next().await {} };
        tokio::time::timeout(LIMIT, closed).await.expect("the connection is closed in time");
    }
}

/// Waits for the counters, which a task may raise just after it closed the connection.
async fn until(peer: &Peer, holds: impl Fn(&Values) -> bool) {
    let waiting = async {
        while !holds(&peer.handle.counts()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let ended = tokio::time::timeout(LIMIT, waiting).await;
    assert!(ended.is_ok(), "{:?}", peer.handle.counts());
}

/// A fault on an open connection, and the counter that it raises.
struct Case {
    name: &'static str,
    bytes: fn(&mut Sealer) -> BytesMut,
    count: fn(&Values) -> u64,
}

fn sealed(sealer: &mut Sealer, frame: &Frame) -> BytesMut {
    let mut out = BytesMut::new();
    sealer.encode_frame(frame, &mut out).unwrap();
    out
}

const CASES: [Case; 6] = [
    Case {
        name: "a flipped bit",
        bytes: |sealer| {
            let mut out = sealed(sealer, &Frame::new(2, Bytes::new()));
            out[6] ^= 1;
            out
        },
        count: |counts| counts.forged,
    },
    Case {
        name: "a repeated frame",
        bytes: |sealer| {
            let out = sealed(sealer, &Frame::new(2, Bytes::new()));
            [&out[..], &out[..]].concat()[..].into()
        },
        count: |counts| counts.forged,
    },
    Case {
        name: "a frame over the bound",
        bytes: |_| u32::MAX.to_be_bytes()[..].into(),
        count: |counts| counts.oversized,
    },
    Case {
        name: "a body that is no protobuf",
        bytes: |sealer| sealed(sealer, &Frame::new(2, Bytes::from_static(b"\xff"))),
        count: |counts| counts.broken,
    },
    Case {
        name: "a field that is no name",
        bytes: |sealer| {
            let mark = Mark { upstream: "no name!".into(), ..Mark::default() };
            let leaving = Message::from(Leaving { marks: vec![mark] });
            sealed(sealer, &Frame::new(5, leaving.encode_body()))
        },
        count: |counts| counts.broken,
    },
    Case {
        name: "an empty frame",
        bytes: |_| 0_u32.to_be_bytes()[..].into(),
        count: |counts| counts.forged,
    },
];

#[tokio::test]
async fn each_fault_ends_its_connection_only() {
    let peers = mesh(2).await;
    for case in CASES {
        let before = (case.count)(&peers[0].handle.counts());
        let mut wire = dial(&peers[0], &keys(7), 8).await.expect(case.name);
        let bytes = (case.bytes)(wire.writer.encoder_mut());
        wire.send_raw(&bytes).await;
        wire.until_closed().await;
        until(&peers[0], |counts| (case.count)(counts) > before).await;
    }
    let counts = peers[0].handle.counts();
    assert_eq!((counts.forged, counts.oversized, counts.broken), (3, 1, 2));
    let dump = peers[0].handle.dump().await.unwrap();
    assert!(dump.links.iter().any(|link| link.instance == peers[1].identity.instance));
}

#[tokio::test]
async fn unknown_kinds_and_versions_are_skipped_and_counted() {
    let peer = start(0, &[]).await;
    let mut wire = dial(&peer, &keys(7), 8).await.unwrap();
    wire.send_frame(&Frame::new(900, Bytes::from_static(b"later"))).await;
    wire.send_frame(&Frame { version: VERSION + 1, kind: 2, body: Bytes::new() }).await;
    until(&peer, |counts| counts.unknown == 2).await;
    let mark = Mark { upstream: "engine-1".into(), incarnation: "a".into(), ..Mark::default() };
    wire.writer.send(Leaving { marks: vec![mark] }.into()).await.unwrap();
    peer.daemon.wait(|told| matches!(told, Told::Notice(Notice::Leaving(_)))).await;
}

#[tokio::test]
async fn strangers_and_silent_dialers_are_refused() {
    let peer = start_with(0, &[], Daemon::default(), |settings| {
        settings.link_timeouts(Duration::from_millis(100), Duration::from_secs(1))
    })
    .await;
    assert!(dial(&peer, &keys(8), 8).await.is_none());
    until(&peer, |counts| counts.refused == 1).await;
    let mut silent = TcpStream::connect(peer.identity.address).await.unwrap();
    until(&peer, |counts| counts.refused == 2).await;
    let mut rest = Vec::new();
    silent.read_to_end(&mut rest).await.unwrap();
    let mut garbage = TcpStream::connect(peer.identity.address).await.unwrap();
    garbage.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    until(&peer, |counts| counts.refused == 3).await;
    assert_eq!(peer.handle.counts().connections, 0);
}

#[tokio::test]
async fn connections_over_the_bound_are_not_accepted() {
    let peer = start_with(0, &[], Daemon::default(), |settings| settings.bounds(2, 10)).await;
    let _first = dial(&peer, &keys(7), 1).await.unwrap();
    let _second = dial(&peer, &keys(7), 2).await.unwrap();
    assert!(dial(&peer, &keys(7), 3).await.is_none());
    assert_eq!(peer.handle.counts().crowded, 1);
}

#[tokio::test]
async fn a_peer_that_does_not_read_never_blocks_the_others() {
    let peers = mesh(2).await;
    let _stuck = dial(&peers[0], &keys(7), 8).await.unwrap();
    let stuck = identity(8, 0, peers[0].identity.address).instance;
    let owner = peers[1].identity.incarnation;
    let bytes = Bytes::from(vec![0; 1 << 20]);
    let digest = Digest::of(&bytes);
    // More in all than socket buffers and the queue hold.
    for version in 0..100 {
        let bytes = bytes.clone();
        let configuration = Configuration { version: Offset(version), digest, bytes };
        peers[0].handle.send_config(stuck.clone(), configuration).await.unwrap();
        let asked = peers[0].handle.query_result(owner, mesh::key(1), digest).await;
        assert!(asked.is_ok(), "{asked:?}");
    }
    assert!(peers[0].handle.counts().dropped > 0);
}
