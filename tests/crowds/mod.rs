//! Crowds of clients, and the processes that they are sent to.

pub mod client;
pub mod entry;
pub mod frames;
pub mod gateway;
pub mod usage;

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{Mutex, MutexGuard},
};

use client::Content;
use usage::Usage;

/// Longest time in which an ordinary request has to be answered, and a body to be served in calm.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which an ordinary caller gives up an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

static ALONE: Mutex<()> = Mutex::const_new(());

/// Waits until no other test of this file runs.
pub async fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().await
}

/// A front end that runs as a process of its own.
pub trait Front {
    /// Returns the address for callers.
    fn address(&self) -> SocketAddr;

    /// Returns the lines of a request's head that select a service and name the caller.
    fn head(&self, target: Target) -> String;

    /// Returns what the process holds.
    fn usage(&self) -> Usage;

    /// Returns the memory and the descriptors that the process may use.
    fn bounds(&self) -> Bounds;

    /// Checks that the process lives within its bounds, and did so since it was looked at first.
    fn check_usage(&self, started: &Usage) {
        let (usage, bounds) = (self.usage(), self.bounds());
        let megabytes = |bytes: u64| bytes as f64 / 1e6;
        println!(
            "peak of {:.1} MB resident of {:.1} MB ({:.1} MB before), {} descriptors of {}",
            megabytes(usage.peak_bytes),
            megabytes(bounds.memory_bytes),
            megabytes(started.peak_bytes),
            usage.peak_descriptors,
            bounds.descriptors,
        );
        assert!(usage.peak_bytes <= bounds.memory_bytes, "{usage:?} over {bounds:?}");
        assert!(usage.peak_descriptors <= bounds.descriptors, "{usage:?} over {bounds:?}");
    }

    /// Checks that one ordinary request is answered; its caller tries again if it is refused.
    async fn check_answer(&self) {
        let answered = async {
            loop {
                let exchange = async { Connection::open(self).await.ok()?.status().await.ok() };
                let status = tokio::time::timeout(ATTEMPT_TIMEOUT, exchange).await;
                if matches!(status, Ok(Some(200))) {
                    return;
                }
                println!("an ordinary request got {status:?}");
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let timeout = tokio::time::timeout(ANSWER_TIMEOUT, answered).await;
        timeout.expect("no ordinary request is answered");
    }

    /// Checks that a request with a whole body is answered at the first attempt.
    async fn check_body(&self, content: Content) {
        let mut connection = Connection::open(self).await.unwrap();
        let request = content.request(&self.head(Target::Ordinary));
        let exchange = async {
            connection.stream.write_all(&request).await?;
            connection.read_status().await
        };
        let status = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
        assert_eq!(status.expect("a body of legal size is not answered").unwrap(), 200);
    }

    /// Opens a connection of an ordinary caller.
    async fn connect(&self) -> Connection {
        Connection::open(self).await.unwrap()
    }
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub enum Target {
    /// A small answer at once.
    Ordinary,
    /// A small answer after a second.
    Slow,
    /// A large answer.
    Large,
}

/// Limits of the machine of a process.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub memory_bytes: u64,
    pub descriptors: u64,
}

/// A connection of an ordinary caller, which is kept open.
pub struct Connection {
    stream: TcpStream,
    head: String,
}

impl Connection {
    async fn open<F: Front + ?Sized>(front: &F) -> std::io::Result<Self> {
        let stream = TcpStream::connect(front.address()).await?;
        Ok(Self { stream, head: front.head(Target::Ordinary) })
    }

    /// Checks that a request on this connection is answered.
    pub async fn check_answer(&mut self) {
        let status = tokio::time::timeout(ANSWER_TIMEOUT, self.status()).await;
        assert_eq!(status.expect("no answer").unwrap(), 200);
    }

    /// Sends a request with a head of about this size and returns the status of its answer.
    pub async fn status_of_head(&mut self, bytes: usize) -> u16 {
        self.head.push_str(&format!("x-padding: {}\r\n", "p".repeat(bytes - self.head.len())));
        let status = tokio::time::timeout(ANSWER_TIMEOUT, self.status()).await;
        status.expect("no answer").unwrap()
    }

    /// Sends an ordinary request and returns the status of its answer.
    async fn status(&mut self) -> std::io::Result<u16> {
        let request = format!("{}content-length: 2\r\n\r\nhi", self.head);
        self.stream.write_all(request.as_bytes()).await?;
        self.read_status().await
    }

    /// Reads one answer with a length.
    async fn read_status(&mut self) -> std::io::Result<u16> {
        let mut read = Vec::new();
        loop {
            if self.stream.read_buf(&mut read).await? == 0 {
                let text = String::from_utf8_lossy(&read).into_owned();
                return Err(std::io::Error::other(format!("closed after {text:?}")));
            }
            let text = String::from_utf8_lossy(&read).to_ascii_lowercase();
            let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
            let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
            if body.len() >= length {
                return status.ok_or_else(|| std::io::Error::other(format!("no status: {head}")));
            }
        }
    }
}
