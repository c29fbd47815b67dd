//! Clients that do not behave.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http_body_util::{BodyExt, StreamBody};
use hyper::{body::Frame, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    sync::Semaphore,
    task::JoinSet,
};

use super::{Front, Target, frames::Frames};

/// Longest time that a client takes to send what it sends; then it stays as it is.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Connections that are opened at the same time, so that the listener's queue does not overflow, and
/// how long each takes.
static CONNECTING: Semaphore = Semaphore::const_new(50);
const CONNECT_PAUSE: Duration = Duration::from_millis(10);

/// Receive buffer of a client that does not read, in bytes.
const UNREAD_BUFFER: u32 = 4 << 10;

/// The body of a request.
#[derive(Debug, Clone)]
pub struct Content {
    length: usize,
    /// Size of a chunk; `None` for a body whose length is announced.
    chunk: Option<usize>,
    /// Size of the pieces in which it is written.
    piece: usize,
    /// Bytes that are never sent.
    missing: usize,
}

impl Content {
    /// Creates a body whose length is announced.
    pub fn sized(length: usize) -> Self {
        Self { length, chunk: None, piece: 256 << 10, missing: 0 }
    }

    /// Creates a body in chunks.
    pub fn chunked(length: usize, chunk: usize) -> Self {
        Self { chunk: Some(chunk), ..Self::sized(length) }
    }

    /// Writes it in pieces of this size.
    pub fn in_pieces(mut self, piece: usize) -> Self {
        self.piece = piece;
        self
    }

    /// Leaves out the last bytes; the end of the last chunk as well.
    pub fn stop_short(mut self, missing: usize) -> Self {
        self.missing = missing;
        self
    }

    /// Returns the bytes of a request with this body, after the first lines of its head.
    pub fn request(&self, head: &str) -> Vec<u8> {
        let Some(chunk) = self.chunk else {
            let mut request = format!("{head}content-length: {}\r\n\r\n", self.length).into_bytes();
            request.resize(request.len() + self.length - self.missing, b'b');
            return request;
        };
        let mut request = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
        let mut left = self.length - self.missing;
        while left > 0 {
            let size = chunk.min(left);
            request.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            request.resize(request.len() + size, b'b');
            request.extend_from_slice(b"\r\n");
            left -= size;
        }
        if self.missing == 0 {
            request.extend_from_slice(b"0\r\n\r\n");
        }
        request
    }
}

/// What a client does on its connection.
#[derive(Debug, Clone)]
pub enum Client {
    /// Sends a request with a body.
    Body(Content),
    /// Sends a request with a body as a peer passes it on.
    Relayed(Content),
    /// Opens streams of HTTP/2 whose bodies stop short of their end.
    Http2 {
        /// Number of streams.
        streams: usize,
    },
    /// Sends frames of HTTP/2, one stream after the other, and stays.
    Frames(Frames),
    /// Sends a part of a head.
    Head {
        /// Its size in bytes.
        bytes: usize,
    },
    /// Sends nothing.
    Silent,
    /// Requests a large answer and does not read it.
    Unread,
}

impl Client {
    /// Creates a client that sends a request with a body.
    pub fn body(content: Content) -> Self {
        Self::Body(content)
    }

    /// Creates a client that sends frames of HTTP/2.
    pub fn frames(frames: Frames) -> Self {
        Self::Frames(frames)
    }

    fn target(&self) -> Target {
        match self {
            Self::Unread => Target::Large,
            _ => Target::Slow,
        }
    }
}

/// Clients that act at the same time.
#[derive(Debug, Clone)]
pub struct Crowd {
    members: Vec<Client>,
}

/// A crowd that has sent what it sends and stays connected; dropping it closes its connections.
#[derive(Debug)]
pub struct Staying {
    _open: Vec<TcpStream>,
    _tasks: JoinSet<()>,
}

impl Crowd {
    /// Creates a crowd of alike members.
    pub fn new(members: usize, client: Client) -> Self {
        Self { members: vec![client; members] }
    }

    /// Adds further members.
    pub fn and(mut self, members: usize, client: Client) -> Self {
        self.members.extend(vec![client; members]);
        self
    }

    /// Returns the number of members and what the first one does.
    pub fn describe(&self) -> String {
        format!("{} x {:?}", self.members.len(), self.members.first())
    }

    /// Sends to a front end and returns once every member has sent what it sends.
    pub async fn start(self, front: &impl Front) -> Staying {
        self.run(front.address(), |client| front.head(client.target())).await
    }

    /// Sends to an address.
    pub async fn start_at(self, address: SocketAddr) -> Staying {
        self.run(address, |_| String::new()).await
    }

    async fn run(self, address: SocketAddr, head: impl Fn(&Client) -> String) -> Staying {
        let mut senders = Vec::new();
        let mut openers = Vec::new();
        for client in self.members {
            let head = head(&client);
            match client {
                Client::Http2 { streams } => {
                    openers.push(tokio::spawn(limited(open_streams(address, head, streams))));
                }
                client => senders.push(tokio::spawn(send(address, head, client))),
            }
        }
        let mut tasks = JoinSet::new();
        // A server that closes the connection ends the member.
        for opened in join_all(openers).await {
            if let Ok(Ok(streams)) = opened.unwrap() {
                tasks.spawn(streams);
            }
        }
        let open = join_all(senders).await;
        let open = open.into_iter().filter_map(|sent| sent.unwrap()).collect();
        Staying { _open: open, _tasks: tasks }
    }
}

async fn limited<T>(future: impl Future<Output = T>) -> Result<T, tokio::time::error::Elapsed> {
    tokio::time::timeout(SEND_TIMEOUT, future).await
}

/// Sends what a client sends, as far as the server takes it, and returns its open connection.
async fn send(address: SocketAddr, head: String, client: Client) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    if matches!(client, Client::Unread) {
        socket.set_recv_buffer_size(UNREAD_BUFFER).ok()?;
    }
    let mut stream = {
        let _permit = CONNECTING.acquire().await.ok()?;
        let stream = limited(socket.connect(address)).await.ok()?.ok()?;
        tokio::time::sleep(CONNECT_PAUSE).await;
        stream
    };
    let (bytes, piece) = match client {
        Client::Body(content) => (content.request(&head), content.piece),
        Client::Relayed(content) => {
            let head = format!("{head}goldcrestvale-relayed: 1\r\n");
            (content.request(&head), content.piece)
        }
        Client::Head { bytes } => {
            let padding = "p".repeat(bytes - head.len());
            (format!("{head}x-padding: {padding}").into_bytes(), bytes)
        }
        Client::Frames(frames) => (frames.bytes(&head), 16 << 10),
        Client::Unread => (format!("{head}content-length: 2\r\n\r\nhi").into_bytes(), 1 << 10),
        Client::Silent | Client::Http2 { .. } => (Vec::new(), 1),
    };
    let written = limited(async {
        for piece in bytes.chunks(piece) {
            stream.write_all(piece).await?;
        }
        Ok::<_, std::io::Error>(())
    });
    // A server that closes the connection ends the member; one that does not read leaves it open.
    match written.await {
        Ok(Err(_)) => None,
        Ok(Ok(())) | Err(_) => Some(stream),
    }
}

/// Opens streams and returns a future that holds them.
async fn open_streams(
    address: SocketAddr,
    head: String,
    streams: usize,
) -> Result<impl Future<Output = ()> + use<>, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io).await?;
    let connection = tokio::spawn(connection);
    let mut lines = head.lines();
    let mut first = lines.next().unwrap_or_default().split(' ');
    let method = first.next().unwrap_or_default().to_owned();
    let path = first.next().unwrap_or_default().to_owned();
    let fields: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let host = fields.iter().find(|(name, _)| name == "host").map(|(_, value)| value.clone());
    let uri = format!("http://{}{path}", host.unwrap_or_default());
    let mut answers = JoinSet::new();
    for _ in 0..streams {
        let body = futures_util::stream::unfold(true, |is_first| async move {
            if !is_first {
                std::future::pending::<()>().await;
            }
            let frame = Frame::data(Bytes::from(vec![b'b'; 1 << 10]));
            Some((Ok::<_, std::io::Error>(frame), false))
        });
        let mut request = Request::builder().method(method.as_str()).uri(uri.as_str());
        for (name, value) in fields.iter().filter(|(name, _)| name != "host") {
            request = request.header(name, value);
        }
        let request = request.body(BodyExt::boxed_unsync(StreamBody::new(body)))?;
        sender.ready().await?;
        answers.spawn(sender.send_request(request));
    }
    Ok(async move {
        let _connection = connection;
        while answers.join_next().await.is_some() {}
        std::future::pending::<()>().await;
    })
}
