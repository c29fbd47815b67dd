//! Tests that a faulty or hostile connection is closed and counted without affecting others.
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
use mesh::{Daemon, DaemonEvent, Peer, TIMEOUT, identity, keys, mesh, start, start_with};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
};
use tokio_util::codec::{FramedRead, FramedWrite};

/// The test's side of a connection.
struct Client {
    reader: FramedRead<OwnedReadHalf, Opener>,
    writer: FramedWrite<OwnedWriteHalf, Sealer>,
}

fn hello(identity: &Identity) -> Hello {
    Hello {
        incarnation: field::encode_incarnation(identity.incarnation),
        instance: identity.instance.to_string(),
        domain: identity.domain.to_string(),
        address: identity.address.to_string(),
        version: 1,
    }
}

/// Dials a peer as another instance and completes the handshake.
async fn dial(peer: &Peer, ring: &Keyring, name: usize) -> Option<Client> {
    let stream = TcpStream::connect(peer.identity.address).await.unwrap();
    let (mut read, mut write) = stream.into_split();
    let handshake = Handshake::new(Role::Dialer, [9; 16], ring);
    write.write_all(&handshake.preamble()).await.unwrap();
    let mut preamble = vec![0; read.read_u32().await.ok()? as usize];
    read.read_exact(&mut preamble).await.ok()?;
    let session = handshake.accept(&preamble, 1 << 20).ok()?;
    let mut client = Client {
        reader: FramedRead::new(read, session.opener),
        writer: FramedWrite::new(write, session.sealer),
    };
    let own = identity(name, 500 + name as u128, "127.0.0.1:1".parse().unwrap());
    client.writer.send(hello(&own).into()).await.unwrap();
    client.reader.next().await?.ok()?;
    Some(client)
}

impl Client {
    async fn send_raw(&mut self, bytes: &[u8]) {
        self.writer.get_mut().write_all(bytes).await.unwrap();
    }

    async fn send_frame(&mut self, frame: &Frame) {
        let mut out = BytesMut::new();
        self.writer.encoder_mut().encode_frame(frame, &mut out).unwrap();
        self.send_raw(&out).await;
    }

    /// Waits until the other side closes the connection.
    async fn wait_until_closed(mut self) {
        let closed = async { while let Some(Ok(_)) = self.reader.next().await {} };
        tokio::time::timeout(TIMEOUT, closed).await.expect("the connection is closed in time");
    }
}

/// Waits for the counters, which a task may increment shortly after it closed the connection.
async fn wait_for_counters(peer: &Peer, matches: impl Fn(&Values) -> bool) {
    let waiting = async {
        while !matches(&peer.handle.counts()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let ended = tokio::time::timeout(TIMEOUT, waiting).await;
    assert!(ended.is_ok(), "{:?}", peer.handle.counts());
}

/// A fault on an open connection, and the counter that it increments.
struct Case {
    name: &'static str,
    bytes: fn(&mut Sealer) -> BytesMut,
    counter: fn(&Values) -> u64,
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
        counter: |counts| counts.forged,
    },
    Case {
        name: "a replayed frame",
        bytes: |sealer| {
            let out = sealed(sealer, &Frame::new(2, Bytes::new()));
            [&out[..], &out[..]].concat()[..].into()
        },
        counter: |counts| counts.forged,
    },
    Case {
        name: "a frame over the limit",
        bytes: |_| u32::MAX.to_be_bytes()[..].into(),
        counter: |counts| counts.oversized,
    },
    Case {
        name: "a body that is not valid protobuf",
        bytes: |sealer| sealed(sealer, &Frame::new(2, Bytes::from_static(b"\xff"))),
        counter: |counts| counts.broken,
    },
    Case {
        name: "a field with an invalid name",
        bytes: |sealer| {
            let mark = Mark { upstream: "no name!".into(), ..Mark::default() };
            let leaving = Message::from(Leaving { marks: vec![mark] });
            sealed(sealer, &Frame::new(5, leaving.encode_body()))
        },
        counter: |counts| counts.broken,
    },
    Case {
        name: "an empty frame",
        bytes: |_| 0_u32.to_be_bytes()[..].into(),
        counter: |counts| counts.forged,
    },
];

#[tokio::test]
async fn each_fault_closes_only_its_connection() {
    let peers = mesh(2).await;
    for case in CASES {
        let before = (case.counter)(&peers[0].handle.counts());
        let mut client = dial(&peers[0], &keys(7), 8).await.expect(case.name);
        let bytes = (case.bytes)(client.writer.encoder_mut());
        client.send_raw(&bytes).await;
        client.wait_until_closed().await;
        wait_for_counters(&peers[0], |counts| (case.counter)(counts) > before).await;
    }
    let counts = peers[0].handle.counts();
    assert_eq!((counts.forged, counts.oversized, counts.broken), (3, 1, 2));
    let dump = peers[0].handle.dump().await.unwrap();
    assert!(dump.links.iter().any(|link| link.instance == peers[1].identity.instance));
}

#[tokio::test]
async fn unknown_kinds_and_versions_are_skipped_and_counted() {
    let peer = start(0, &[]).await;
    let mut client = dial(&peer, &keys(7), 8).await.unwrap();
    client.send_frame(&Frame::new(900, Bytes::from_static(b"later"))).await;
    client.send_frame(&Frame { version: VERSION + 1, kind: 2, body: Bytes::new() }).await;
    wait_for_counters(&peer, |counts| counts.unknown == 2).await;
    let mark = Mark { upstream: "engine-1".into(), incarnation: "a".into(), ..Mark::default() };
    client.writer.send(Leaving { marks: vec![mark] }.into()).await.unwrap();
    peer.daemon.wait(|event| matches!(event, DaemonEvent::Notice(Notice::Leaving(_)))).await;
}

#[tokio::test]
async fn unauthenticated_and_silent_dialers_are_refused() {
    let peer = start_with(0, &[], Daemon::default(), |settings| {
        settings.link_timeouts(Duration::from_millis(100), Duration::from_secs(1))
    })
    .await;
    assert!(dial(&peer, &keys(8), 8).await.is_none());
    wait_for_counters(&peer, |counts| counts.refused == 1).await;
    let mut silent = TcpStream::connect(peer.identity.address).await.unwrap();
    wait_for_counters(&peer, |counts| counts.refused == 2).await;
    let mut remaining = Vec::new();
    silent.read_to_end(&mut remaining).await.unwrap();
    let mut garbage = TcpStream::connect(peer.identity.address).await.unwrap();
    garbage.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    wait_for_counters(&peer, |counts| counts.refused == 3).await;
    assert_eq!(peer.handle.counts().connections, 0);
}

#[tokio::test]
async fn connections_over_the_limit_are_not_accepted() {
    let peer = start_with(0, &[], Daemon::default(), |settings| settings.bounds(2, 10)).await;
    let _first = dial(&peer, &keys(7), 1).await.unwrap();
    let _second = dial(&peer, &keys(7), 2).await.unwrap();
    assert!(dial(&peer, &keys(7), 3).await.is_none());
    assert_eq!(peer.handle.counts().crowded, 1);
}

#[tokio::test]
async fn a_peer_that_does_not_read_does_not_block_others() {
    let peers = mesh(2).await;
    let _stuck = dial(&peers[0], &keys(7), 8).await.unwrap();
    let stuck = identity(8, 0, peers[0].identity.address).instance;
    let owner = peers[1].identity.incarnation;
    let bytes = Bytes::from(vec![0; 1 << 20]);
    let digest = Digest::of(&bytes);
    // The total exceeds the capacity of the socket buffers and the queue.
    for version in 0..100 {
        let bytes = bytes.clone();
        let configuration = Configuration { version: Offset(version), digest, bytes };
        peers[0].handle.send_config(stuck.clone(), configuration).await.unwrap();
        let result = peers[0].handle.query_result(owner, mesh::key(1), digest).await;
        assert!(result.is_ok(), "{result:?}");
    }
    assert!(peers[0].handle.counts().dropped > 0);
}
