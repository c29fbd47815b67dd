//! One connection: handshake, reading and writing.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use goldcrestvale_member::{identity::Identity, message::Message};
use goldcrestvale_wire::{
    codec::{self, Opened, Opener, Sealer},
    field,
    frame::OVERHEAD_BYTES,
    handshake::{self, Handshake, MAX_PREAMBLE_BYTES, NONCE_BYTES, Role},
    message as wire,
};
use rand::{TryRngCore, rngs::OsRng};
use snafu::{ResultExt, Snafu};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{error::Elapsed, timeout},
};
use tokio_util::{
    codec::{FramedRead, FramedWrite},
    sync::CancellationToken,
    task::TaskTracker,
};

use crate::{
    clock::Clock, convert, core::Input, count::Counts, link::Link, queue::Queue, settings::Settings,
};

/// Maximum number of messages in one write.
const MAX_BATCH_MESSAGES: usize = 64;

/// Time for which a closing connection waits for the peer to read the remaining bytes.
const LINGER: Duration = Duration::from_millis(500);

type Result<T> = std::result::Result<T, Error>;
type Reader = FramedRead<OwnedReadHalf, Opener>;
type Writer = FramedWrite<OwnedWriteHalf, Sealer>;

/// The reason why a connection was not established.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("the connection failed: {source}"), context(false))]
    Io { source: std::io::Error },
    #[snafu(display("the operating system provided no random bytes: {source}"), context(false))]
    Random { source: rand::rand_core::OsError },
    #[snafu(display("the handshake failed: {source}"), context(false))]
    Handshake { source: handshake::Error },
    #[snafu(display("cannot exchange the first message: {source}"), context(false))]
    Codec { source: codec::Error },
    #[snafu(display("the first message does not identify the peer: {source}"))]
    Hello { source: field::Error },
    #[snafu(display("the first message is not a hello"))]
    NoHello,
    #[snafu(display("the handshake timed out"), context(false))]
    Timeout { source: Elapsed },
}

/// State shared by all connections.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) counts: Arc<Counts>,
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) tasks: TaskTracker,
    /// Cancelled when no more connections are accepted.
    pub(crate) closing: CancellationToken,
    /// Cancelled when all connections must end.
    pub(crate) stop: CancellationToken,
    pub(crate) clock: Clock,
    pub(crate) next_id: AtomicU64,
}

impl Shared {
    async fn send(&self, input: Input) {
        // The receiver is dropped only when the tasks stop.
        let _ = self.inputs.send(input).await;
    }
}

/// Connects to a peer and serves the connection.
pub(crate) async fn dial(shared: Arc<Shared>, address: SocketAddr) {
    let connected = timeout(shared.settings.handshake_timeout, TcpStream::connect(address)).await;
    let established = match connected {
        Ok(Ok(stream)) => serve(&shared, stream, Role::Dialer).await,
        _ => false,
    };
    if !established {
        shared.counts.dial_failures.inc();
        shared.send(Input::DialFailed(address)).await;
    }
}

/// Serves an accepted connection.
pub(crate) async fn accept(shared: Arc<Shared>, stream: TcpStream) {
    serve(&shared, stream, Role::Listener).await;
}

/// Serves a connection until it ends; returns whether it was established.
async fn serve(shared: &Shared, stream: TcpStream, role: Role) -> bool {
    let limit = shared.settings.handshake_timeout;
    let opened = match timeout(limit, open(shared, stream, role)).await {
        Ok(opened) => opened,
        Err(elapsed) => Err(elapsed.into()),
    };
    let (peer, reader, writer) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            shared.counts.refused.inc();
            log::debug!("cannot establish a connection: {error}");
            return false;
        }
    };
    shared.counts.connections.inc();
    let settings = &shared.settings;
    let link = Link {
        id: shared.next_id.fetch_add(1, Ordering::Relaxed),
        peer,
        role,
        queue: Arc::new(Queue::new(settings.queue_messages, settings.queue_bytes)),
        cancel: shared.stop.child_token(),
        last_used: shared.clock.now(),
    };
    shared.send(Input::Connected(link.clone())).await;
    run(shared, &link, reader, writer).await;
    shared.counts.disconnections.inc();
    shared.send(Input::Disconnected(link.id)).await;
    true
}

async fn open(
    shared: &Shared,
    stream: TcpStream,
    role: Role,
) -> Result<(Identity, Reader, Writer)> {
    let Settings { keys, max_frame_bytes, membership, .. } = &shared.settings;
    stream.set_nodelay(true)?;
    let (mut read, mut write) = stream.into_split();
    let mut nonce = [0; NONCE_BYTES];
    OsRng.try_fill_bytes(&mut nonce)?;
    let handshake = Handshake::new(role, nonce, keys);
    write.write_all(&handshake.preamble()).await?;
    let length = usize::try_from(read.read_u32().await?).unwrap_or(usize::MAX);
    if length > MAX_PREAMBLE_BYTES {
        return Err(handshake::Error::Oversized { length }.into());
    }
    let mut preamble = vec![0; length];
    read.read_exact(&mut preamble).await?;
    let session = handshake.accept(&preamble, *max_frame_bytes)?;
    let mut reader = FramedRead::new(read, session.opener);
    let mut writer = FramedWrite::new(write, session.sealer);
    writer.send(convert::encode_identity(&membership.own).into()).await?;
    match reader.next().await.transpose()? {
        Some(Opened::Known(wire::Message::Hello(hello))) => {
            Ok((convert::decode_identity(&hello).context(HelloSnafu)?, reader, writer))
        }
        _ => NoHelloSnafu.fail(),
    }
}

async fn run(shared: &Shared, link: &Link, mut reader: Reader, mut writer: Writer) {
    let reading = read(shared, link, &mut reader);
    tokio::pin!(reading);
    let drained = tokio::select! {
        () = &mut reading => false,
        drained = write(shared, link, &mut writer) => drained,
        () = link.cancel.cancelled() => false,
    };
    if drained {
        // Closing with unread bytes would reset the connection and lose the last messages sent.
        let _ = writer.get_mut().shutdown().await;
        let _ = timeout(LINGER, reading).await;
    }
    link.queue.close();
}

/// Writes the queued messages; returns whether the queue was closed and is empty.
async fn write(shared: &Shared, link: &Link, writer: &mut Writer) -> bool {
    while let Some(first) = link.queue.pop().await {
        let batch = async {
            let mut part = last_part(&first);
            feed(shared, writer, first).await?;
            for _ in 1..MAX_BATCH_MESSAGES {
                // Heartbeats that are queued during a write go before the next part.
                if part.is_some() {
                    break;
                }
                let Some(next) = link.queue.try_pop() else { break };
                part = last_part(&next);
                feed(shared, writer, next).await?;
            }
            writer.flush().await.map(|()| part)
        };
        match timeout(shared.settings.write_timeout, batch).await {
            Ok(Ok(None)) => {}
            Ok(Ok(Some(is_last))) => {
                shared.send(Input::PartSent { link: link.id, is_last }).await;
            }
            Ok(Err(error)) => {
                shared.counts.count_error(&error);
                return false;
            }
            Err(_) => {
                shared.counts.slow.inc();
                return false;
            }
        }
    }
    true
}

/// Returns whether a part of a configuration is the last one; `None` for other messages.
fn last_part(message: &wire::Message) -> Option<bool> {
    match message {
        wire::Message::ConfigState(part) => Some(part.part.saturating_add(1) >= part.parts),
        _ => None,
    }
}

async fn feed(shared: &Shared, writer: &mut Writer, message: wire::Message) -> codec::Result<()> {
    if !writer.encoder().fits(&message) {
        shared.counts.dropped.inc();
        return Ok(());
    }
    shared.counts.frames_out.inc();
    shared.counts.bytes_out.inc_by(frame_len(&message));
    writer.feed(message).await
}

/// Reads until the connection ends or a frame is invalid.
async fn read(shared: &Shared, link: &Link, reader: &mut Reader) {
    while let Some(opened) = reader.next().await {
        let message = match opened {
            Ok(Opened::Known(message)) => message,
            Ok(Opened::Unknown { version, kind }) => {
                shared.counts.unknown.inc();
                log::debug!("skipped a frame of version {version}, kind {kind}");
                continue;
            }
            Err(error) => {
                shared.counts.count_error(&error);
                log::warn!("closed the connection to {}: {error}", link.peer.instance);
                return;
            }
        };
        shared.counts.frames_in.inc();
        shared.counts.bytes_in.inc_by(frame_len(&message));
        let input = match convert::decode(&message) {
            Ok(Some(message)) => Input::Membership { link: link.id, message },
            Ok(None) => Input::Other { link: link.id, message },
            Err(error) => {
                shared.counts.broken.inc();
                log::warn!("closed the connection to {}: {error}", link.peer.instance);
                return;
            }
        };
        let is_goodbye = matches!(&input, Input::Membership { message: Message::Goodbye(_), .. });
        shared.send(input).await;
        if is_goodbye {
            return;
        }
    }
}

fn frame_len(message: &wire::Message) -> u64 {
    u64::try_from(OVERHEAD_BYTES + message.body_len()).unwrap_or(u64::MAX)
}
