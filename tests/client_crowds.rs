//! Crowds of clients that send without end, stop short or do not read: the process lives, stays within
//! the memory and the descriptors of its machine, and answers an ordinary request beside the crowd.
#![allow(clippy::unwrap_used, clippy::print_stdout, unreachable_pub)]

#[allow(dead_code)]
#[path = "../platform/tests/gateway/proxy.rs"]
mod proxy;
#[allow(dead_code)]
#[path = "../platform/tests/gateway/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "../platform/tests/gateway/web.rs"]
mod web;

#[allow(dead_code)]
mod crowds;

use std::time::Duration;

use proxy::Cut;

use crowds::{
    Front,
    client::{Client, Content, Crowd},
    entry::Entry,
    frames::Frames,
    gateway::Gateway,
};

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Length of a body that the limits of both front ends allow.
const LEGAL_BODY: usize = 4 * MIB;

/// Bytes that a stalled body lacks.
const MISSING: usize = 16;

/// How long a crowd stays after it has sent what it sends.
const STAY: Duration = Duration::from_secs(2);

/// Sends a crowd to a front end, then checks the process and one ordinary request.
async fn endure(front: &impl Front, crowd: Crowd) {
    let started = front.usage();
    let crowd = crowd.start(front).await;
    tokio::time::sleep(STAY).await;
    front.check_answer().await;
    front.check_usage(&started);
    drop(crowd);
    front.check_answer().await;
    front.check_usage(&started);
}

/// Runs a crowd against a gateway, then against an entry instance, each a process of its own.
macro_rules! crowds {
    ($($name:ident: $gateway:expr, $entry:expr;)*) => {
        mod gateway {
            use super::*;
            $(#[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let _alone = crowds::alone().await;
                endure(&Gateway::start().await, $gateway).await;
            })*
        }
        mod entry {
            use super::*;
            $(#[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let _alone = crowds::alone().await;
                endure(&Entry::start().await, $entry).await;
            })*
        }
    };
}

/// Returns a crowd whose members send a body of legal length that stops short of its end.
fn stalled(members: usize, content: Content) -> Crowd {
    Crowd::new(members, Client::body(content.stop_short(MISSING)))
}

/// Returns a crowd whose members send bodies in chunks of one byte, which stop short of their end.
fn one_byte_chunks(members: usize) -> Crowd {
    stalled(members, Content::chunked(MIB, 1))
}

/// Returns a crowd with bodies far over the limit, half of them announced and half just sent.
fn oversized(members: usize) -> Crowd {
    Crowd::new(members / 2, Client::body(Content::sized(16 * LEGAL_BODY)))
        .and(members / 2, Client::body(Content::chunked(4 * LEGAL_BODY, 64 * KIB)))
}

/// Returns a crowd of whole bodies and stalled ones of each form.
fn mixed(members: usize) -> Crowd {
    Crowd::new(members, Client::body(Content::sized(LEGAL_BODY)))
        .and(members, Client::body(Content::sized(LEGAL_BODY).stop_short(MISSING)))
        .and(members, Client::body(Content::chunked(LEGAL_BODY, 64 * KIB).stop_short(MISSING)))
        .and(members, Client::body(Content::sized(8 * KIB).stop_short(MISSING)))
}

crowds! {
    whole_bodies:
        Crowd::new(100, Client::body(Content::sized(LEGAL_BODY))),
        Crowd::new(200, Client::body(Content::sized(LEGAL_BODY)));
    stalled_bodies:
        stalled(40, Content::sized(LEGAL_BODY)),
        stalled(100, Content::sized(LEGAL_BODY));
    stalled_pieces:
        stalled(40, Content::sized(LEGAL_BODY).in_pieces(KIB)),
        stalled(100, Content::sized(LEGAL_BODY).in_pieces(KIB));
    stalled_chunks:
        stalled(40, Content::chunked(LEGAL_BODY, 64 * KIB)),
        stalled(100, Content::chunked(LEGAL_BODY, 64 * KIB));
    stalled_tiny_chunks:
        one_byte_chunks(3),
        one_byte_chunks(8);
    stalled_small_bodies:
        stalled(1_500, Content::sized(8 * KIB)),
        stalled(4_500, Content::sized(8 * KIB));
    mixed_bodies:
        mixed(25),
        mixed(60);
    oversized_bodies:
        oversized(20),
        oversized(20);
    http2_streams:
        Crowd::new(200, Client::Http2 { streams: 100 }),
        Crowd::new(200, Client::Http2 { streams: 100 });
    http2_tiny_frames:
        Crowd::new(200, Client::frames(Frames::new(16).with_data(3_500))),
        Crowd::new(200, Client::frames(Frames::new(16).with_data(3_500)));
    http2_many_fields:
        Crowd::new(200, Client::frames(Frames::new(16).with_fields(400))),
        Crowd::new(200, Client::frames(Frames::new(16).with_fields(400)));
    partial_heads:
        Crowd::new(1_500, Client::Head { bytes: 14 * KIB }),
        Crowd::new(4_500, Client::Head { bytes: 14 * KIB });
    silent_connections:
        Crowd::new(1_500, Client::Silent),
        Crowd::new(4_500, Client::Silent);
    unread_answers:
        Crowd::new(40, Client::Unread),
        Crowd::new(100, Client::Unread);
}

/// Streams of HTTP/2 on as many connections as the gateway has stay within the same bounds.
#[tokio::test(flavor = "multi_thread")]
async fn http2_at_every_connection() {
    let _alone = crowds::alone().await;
    let crowd = Crowd::new(400, Client::Http2 { streams: 100 });
    endure(&Gateway::start().await, crowd).await;
}

/// Streams of HTTP/2 on as many connections as an entry instance has stay within the same bounds.
#[tokio::test(flavor = "multi_thread")]
async fn http2_at_every_entry_connection() {
    let _alone = crowds::alone().await;
    let crowd = Crowd::new(1_900, Client::frames(Frames::new(16).with_fields(100)));
    endure(&Entry::start().await, crowd).await;
}

/// Answers that are not read on as many connections as the gateway has stay within the same bounds.
#[tokio::test(flavor = "multi_thread")]
async fn unread_at_every_connection() {
    let _alone = crowds::alone().await;
    endure(&Gateway::start().await, Crowd::new(400, Client::Unread)).await;
}

/// Bodies that a peer passes on are within the same bounds.
#[tokio::test(flavor = "multi_thread")]
async fn relayed_bodies() {
    let _alone = crowds::alone().await;
    let content = Content::sized(LEGAL_BODY);
    let crowd = Crowd::new(50, Client::Relayed(content.clone()))
        .and(50, Client::Relayed(content.stop_short(MISSING)));
    endure(&Gateway::start().await, crowd).await;
}

/// An instance that has lost its links passes bodies on to its peer: both stay within their bounds.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_through_a_peer() {
    let _alone = crowds::alone().await;
    let peer = Gateway::start().await;
    let (cut, link) = Gateway::start_beside(&peer).await;
    let started = [cut.usage(), peer.usage()];
    link.cut(Cut::Reset).await;
    cut.check_answer().await;
    let content = Content::sized(LEGAL_BODY);
    cut.check_body(content.clone()).await;
    let crowd = Crowd::new(50, Client::body(content.clone()))
        .and(50, Client::body(content.stop_short(MISSING)));
    let crowd = crowd.start(&cut).await;
    tokio::time::sleep(STAY).await;
    for (front, started) in [&cut, &peer].into_iter().zip(&started) {
        front.check_answer().await;
        front.check_usage(started);
    }
    drop(crowd);
}

/// Bodies of legal size are served one after the other in calm.
#[tokio::test(flavor = "multi_thread")]
async fn legal_bodies_in_calm() {
    let _alone = crowds::alone().await;
    let gateway = Gateway::start().await;
    let started = gateway.usage();
    for content in [Content::sized(LEGAL_BODY), Content::chunked(LEGAL_BODY, KIB)] {
        gateway.check_body(content).await;
    }
    gateway.check_usage(&started);
    let entry = Entry::start().await;
    let started = entry.usage();
    for content in [Content::sized(LEGAL_BODY), Content::chunked(LEGAL_BODY, KIB)] {
        entry.check_body(content).await;
    }
    entry.check_usage(&started);
}

/// Connections that were answered stay open for the idle time of the configuration, and callers may use
/// them again for four fifths of it.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_is_kept() {
    let _alone = crowds::alone().await;
    let gateway = Gateway::start().await;
    let mut connection = gateway.connect().await;
    connection.check_answer().await;
    tokio::time::sleep(crowds::gateway::IDLE_TIMEOUT.mul_f64(0.8)).await;
    connection.check_answer().await;
}

/// Heads larger than the configuration allows are refused.
#[tokio::test(flavor = "multi_thread")]
async fn head_over_the_limit() {
    let _alone = crowds::alone().await;
    let gateway = Gateway::start().await;
    let mut connection = gateway.connect().await;
    assert_eq!(connection.status_of_head(15 * KIB).await, 200);
    let mut connection = gateway.connect().await;
    assert_eq!(connection.status_of_head(20 * KIB).await, 431);
}

/// A crowd at the readiness check does not make it fail.
#[tokio::test(flavor = "multi_thread")]
async fn readiness_beside_a_crowd() {
    let _alone = crowds::alone().await;
    let gateway = Gateway::start().await;
    let crowd = Crowd::new(200, Client::Silent).start_at(gateway.ready_address()).await;
    gateway.check_ready().await;
    drop(crowd);
}

/// A crowd at the address for peers leaves the gateway within its descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn crowd_at_the_peers() {
    let _alone = crowds::alone().await;
    let gateway = Gateway::start().await;
    let started = gateway.usage();
    let crowd = Crowd::new(1_500, Client::Silent).start_at(gateway.peers_address()).await;
    gateway.check_answer().await;
    gateway.check_usage(&started);
    drop(crowd);
}
