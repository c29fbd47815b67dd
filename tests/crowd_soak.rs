//! Crowds in series that overlap, beside changes of the configuration, signals and restarts: a gateway
//! stays within the memory and the descriptors of its machine, and serves ordinary requests.
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

use goldcrestvale_standin::process::Signal;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{RngCore, SeedableRng},
};

use crowds::{
    Front,
    client::{Client, Content, Crowd, Staying},
    frames::Frames,
    gateway::{Gateway, Limits},
};

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Number of seeds; a longer run by hand names its own in `GOLDCRESTVALE_CASES`, and the first one in
/// `GOLDCRESTVALE_SEED`.
const CASES: u64 = 3;

/// Number of crowds of each seed, and how many of them stay at the same time at most.
const STEPS: u64 = 6;
const MAX_STAYING: usize = 3;

/// What happens while a crowd sends.
#[derive(Debug, Clone, Copy)]
enum Event {
    Nothing,
    /// The configuration changes.
    Configure(Limits),
    /// The process reads its settings again, several times.
    Reload,
    /// The process is told to end, once or twice, while its callers go on.
    Stop(u64),
}

struct Draw(ChaCha8Rng);

impl Draw {
    fn below(&mut self, end: u64) -> u64 {
        self.0.next_u64() % end
    }

    fn between(&mut self, range: std::ops::Range<u64>) -> u64 {
        range.start + self.below(range.end - range.start)
    }

    fn crowd(&mut self) -> Crowd {
        let bytes = self.between(1..4 * MIB as u64) as usize;
        let content = match self.below(4) {
            0 => Content::sized(bytes),
            1 => Content::sized(bytes).in_pieces(self.between(1..64) as usize * KIB),
            2 => Content::chunked(bytes, 64 * KIB),
            _ => Content::chunked(bytes.min(MIB), self.between(1..64) as usize),
        };
        let missing = if self.below(4) == 0 { 0 } else { 16.min(bytes) };
        let body = content.stop_short(missing);
        let streams = self.between(1..20) as usize;
        let (most, client) = match self.below(9) {
            0..=2 => (100, Client::body(body)),
            3 => (50, Client::Relayed(body)),
            4 => (400, Client::Head { bytes: self.between(1..15) as usize * KIB }),
            5 => (800, Client::Silent),
            6 => (100, Client::Unread),
            7 => (100, Client::Http2 { streams }),
            _ => {
                let fields = self.below(400) as usize;
                let frames = Frames::new(streams.min(16)).with_fields(fields);
                (200, Client::frames(frames.with_data(self.below(50) as usize)))
            }
        };
        Crowd::new(self.between(most / 4..most) as usize, client)
    }

    fn event(&mut self) -> Event {
        match self.below(6) {
            0 | 1 => Event::Nothing,
            2 | 3 => Event::Configure(Limits {
                body_bytes: self.between(1..5) as usize * MIB,
                header_timeout: Duration::from_millis(self.between(500..3_000)),
                idle_timeout: Duration::from_millis(self.between(1_000..10_000)),
            }),
            4 => Event::Reload,
            _ => Event::Stop(self.between(1..3)),
        }
    }
}

/// Sends the crowds of a seed.
async fn soak(seed: u64) {
    let mut draw = Draw(ChaCha8Rng::seed_from_u64(seed));
    let mut gateway = Gateway::start().await;
    let mut started = gateway.usage();
    let mut staying: Vec<Staying> = Vec::new();
    let mut version = 1;
    for step in 0..STEPS {
        let (crowd, event) = (draw.crowd(), draw.event());
        let delay = Duration::from_millis(draw.below(1_500));
        println!("seed {seed}, step {step}: {}, {event:?} after {delay:?}", crowd.describe());
        let happening = async {
            tokio::time::sleep(delay).await;
            match event {
                Event::Nothing => {}
                Event::Configure(limits) => {
                    version += 1;
                    gateway.configure(version, limits);
                }
                Event::Reload => (0..3).for_each(|_| gateway.signal(Signal::SIGHUP)),
                Event::Stop(signals) => {
                    gateway.check_usage(&started);
                    (0..signals).for_each(|_| gateway.signal(Signal::SIGTERM));
                }
            }
        };
        let (sent, ()) = tokio::join!(crowd.start(&gateway), happening);
        if let Event::Stop(_) = event {
            gateway.restart().await;
            started = gateway.usage();
        }
        staying.push(sent);
        if staying.len() > MAX_STAYING {
            staying.remove(draw.below(staying.len() as u64) as usize);
        }
        gateway.check_answer().await;
        gateway.check_usage(&started);
    }
    drop(staying);
    gateway.check_answer().await;
    gateway.check_usage(&started);
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn drawn_crowds() {
    let first = variable("GOLDCRESTVALE_SEED").unwrap_or(1);
    for seed in first..first + variable("GOLDCRESTVALE_CASES").unwrap_or(CASES) {
        soak(seed).await;
    }
}
