//! Follows the log of trials, and claims a trial before a request is sent that may crash upstreams.
//!
//! Both front ends do so in the same way; [`Host`] is what each has of its own.

use std::{
    fmt,
    future::Future,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use goldcrestvale_base::{
    content::Content,
    id::{Offset, Upstream},
};
use goldcrestvale_route::trials::{Admission, Record};
use log::{info, warn};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::{clock::Clock, crash_watch::CrashWatch};

/// How long a read of the log waits for a record. A read whose answer is lost takes this long to be
/// noticed.
const READ_WAIT: Duration = Duration::from_secs(3);

/// Pause after a read that found records, so that several of them are read at once, and after one that
/// found nothing and did not wait for it.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How long a claim waits for the log: many times as long as it takes, and a part of the time that
/// callers have.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which a granted trial checks whether its upstream is free of others.
const WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// How long it waits for that at most; half of the time that its caller has left, if that is less.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// When a caller may retry whose request cannot be tried now.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval at which records are removed that no longer count.
const CLEAN_INTERVAL: Duration = Duration::from_secs(60);

/// The result of a call of the log.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The log no longer holds the offset; it has to be listed again.
    Trimmed,
    /// Any other failure.
    Failed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Trimmed => f.write_str("the log no longer holds the offset"),
            Self::Failed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Error {}

/// Some records of the log.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The records, in the order of the log.
    pub records: Vec<Record>,
    /// Offset of the next read.
    pub next: Offset,
}

/// The newest record of each key at least.
#[derive(Debug, Clone, PartialEq)]
pub struct List {
    /// The records.
    pub page: Page,
    /// Whether the list did not reach all records.
    pub is_partial: bool,
}

/// A front end whose requests are sent in trials.
pub trait Host: Send + Sync + 'static {
    /// Returns what the instance knows of requests that crash upstreams.
    fn watch(&self) -> &Arc<CrashWatch>;

    /// Returns the position of the instance in the log.
    fn position(&self) -> &Position;

    /// Returns the clock of the instance.
    fn clock(&self) -> Clock;

    /// Returns whether this instance removes old records from the log for all.
    fn cleans(&self) -> bool;

    /// Counts a failed read of the log.
    fn count_failure(&self);

    /// Records that the log was read, or cannot be reached.
    fn set_tried(&self) {}

    /// Returns the newest record of each key at least, in the order of the log.
    fn list(&self) -> impl Future<Output = Result<List>> + Send;

    /// Reads the records from an offset on; waits up to `wait` for the first one.
    fn tail(&self, from: Offset, wait: Duration) -> impl Future<Output = Result<Page>> + Send;

    /// Appends records, all of them or none.
    fn append(&self, records: &[Record]) -> impl Future<Output = Result<()>> + Send;
}

/// The position of an instance in the log of trials.
#[derive(Debug, Default)]
pub struct Position {
    /// Whether the log was read, or could not be reached, since the start.
    was_tried: AtomicBool,
    /// Offset of the next read, once the log was listed.
    next: Mutex<Option<Offset>>,
}

impl Position {
    /// Returns whether an instance that has just started knows what it can know of the trials.
    pub fn was_tried(&self) -> bool {
        self.was_tried.load(Ordering::Acquire)
    }

    fn next(&self) -> Option<Offset> {
        *self.next.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_next(&self, next: Option<Offset>) {
        *self.next.lock().unwrap_or_else(PoisonError::into_inner) = next;
    }
}

/// Why a request is not sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The request.
    pub request: Content,
    /// When its caller may retry.
    pub left: Duration,
}

impl fmt::Display for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "request {} crashes upstreams", self.request)
    }
}

/// The right to send a request once.
#[derive(Debug)]
pub struct Trial {
    watch: Arc<CrashWatch>,
    clock: Clock,
    /// The claim that was granted; `None` for a trial without the log.
    claim: Option<Record>,
}

impl Trial {
    /// Returns whether the trial may go to an upstream. One that keeps others from its upstream goes to
    /// no other one.
    fn is_for(&self, upstream: &Upstream) -> bool {
        let Some(Record { key, mark: Some(mark) }) = &self.claim else { return true };
        mark.upstream.as_ref() == Some(upstream) || !self.watch.is_apart(key.request())
    }

    /// Uses the trial up; returns what makes it anew if nothing was sent.
    pub fn spend(mut self) -> SpentTrial {
        SpentTrial { watch: self.watch.clone(), clock: self.clock, claim: self.claim.take() }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.watch.return_claim(self.clock.now(), claim);
        }
    }
}
/// A trial whose request is being sent.
#[derive(Debug)]
pub struct SpentTrial {
    watch: Arc<CrashWatch>,
    clock: Clock,
    claim: Option<Record>,
}

impl SpentTrial {
    /// Returns the trial after nothing of the request was sent.
    pub fn unsent(self) -> Trial {
        Trial { watch: self.watch, clock: self.clock, claim: self.claim }
    }

    /// Returns the trial after the upstream has rejected the request, unless such sends count as well.
    pub fn rejected(self, request: Content) -> Option<Trial> {
        let is_limited = self.watch.is_limited(request);
        (!is_limited).then(|| self.unsent())
    }
}

/// An attempt of a caller that is about to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// The request.
    pub request: Content,
    /// The upstream that it is sent to.
    pub upstream: &'a Upstream,
    /// Whether the attempt was sent to another upstream before.
    pub is_repeat: bool,
    /// The time that its caller has left.
    pub time_left: Duration,
}

/// Claims a trial for an attempt if its request needs one, unless it has one already.
///
/// # Errors
///
/// Fails if the request may not be sent now.
pub async fn claim<H: Host>(
    host: &Arc<H>,
    trial: &mut Option<Trial>,
    attempt: Attempt<'_>,
) -> std::result::Result<(), Held> {
    if trial.as_ref().is_some_and(|trial| trial.is_for(attempt.upstream)) {
        return Ok(());
    }
    // A trial for another upstream is returned.
    *trial = None;
    let Attempt { request, upstream, is_repeat, time_left } = attempt;
    let (watch, clock) = (host.watch(), host.clock());
    let now = clock.now();
    let new_trial = |claim| Trial { watch: watch.clone(), clock, claim };
    if is_repeat && watch.may_go_on(request) && watch.start_unlisted(now, request, upstream) {
        *trial = Some(new_trial(None));
        return Ok(());
    }
    let claim = match watch.admit(now, clock.wall(), request, upstream) {
        Admission::Free => return Ok(()),
        Admission::Held(left) => return Err(Held { request, left }),
        Admission::Claim(claim) => claim,
    };
    let is_granted = match watch.is_log_reached() {
        true => timeout(CLAIM_TIMEOUT.min(time_left), decide(host, &claim)).await.ok().flatten(),
        false => None,
    };
    let now = clock.now();
    match is_granted {
        Some(true) => {
            // What was not known before the claim stands before it in the log.
            let left = watch.check_claim(now, &claim);
            let granted = new_trial(Some(claim.clone()));
            if let Some(left) = left {
                return Err(Held { request, left });
            }
            let wait = MAX_WAIT.min(time_left / 2);
            if timeout(wait, wait_for_others(host, &claim)).await.is_err() {
                return Err(Held { request, left: RETRY_AFTER });
            }
            *trial = Some(granted);
            Ok(())
        }
        Some(false) => {
            let left = watch.check_request(now, request).unwrap_or(RETRY_AFTER);
            Err(Held { request, left })
        }
        None => {
            watch.abandon_claim(now, claim);
            if !watch.start_unlisted(now, request, upstream) {
                return Err(Held { request, left: RETRY_AFTER });
            }
            *trial = Some(new_trial(None));
            Ok(())
        }
    }
}

/// Appends a claim and reads the log up to it; returns whether it is granted, or `None` if the log
/// did not tell.
async fn decide<H: Host>(host: &Arc<H>, claim: &Record) -> Option<bool> {
    if let Err(e) = host.append(std::slice::from_ref(claim)).await {
        warn!(error:% = e; "trial was not claimed");
        return None;
    }
    // The log may be read a second time from here on; its records change nothing then.
    let page = host.tail(host.position().next()?, Duration::ZERO).await.ok()?;
    host.watch().apply_records(host.clock().now(), host.clock().wall(), &page.records);
    host.watch().is_granted(claim)
}

/// Waits until no trial of another request that was granted before is in progress on the upstream, so
/// that the end of the upstream has one cause.
async fn wait_for_others<H: Host>(host: &Arc<H>, claim: &Record) {
    while host.watch().must_wait(host.clock().now(), claim) {
        sleep(WAIT_INTERVAL).await;
    }
}

/// Follows the log until the token is cancelled.
pub async fn follow<H: Host>(host: Arc<H>, stop: CancellationToken) {
    loop {
        let started = host.clock().now();
        let Some(read) = stop.run_until_cancelled(read(&host)).await else { return };
        let is_early = host.clock().now().since(started) < READ_PAUSE;
        let pause = match read {
            Ok(0) if !is_early => Duration::ZERO,
            Ok(_) => READ_PAUSE,
            Err(Error::Trimmed) => {
                host.position().set_next(None);
                Duration::ZERO
            }
            Err(e) => {
                host.count_failure();
                log::debug!(error:% = e; "log of trials was not read");
                set_reached(&host, false);
                RETRY_PAUSE
            }
        };
        if stop.run_until_cancelled(sleep(pause)).await.is_none() {
            return;
        }
    }
}

fn set_reached<H: Host>(host: &Arc<H>, is_reached: bool) {
    if host.watch().set_log_reached(is_reached) != is_reached {
        info!(is_reached; "log of trials");
    }
    host.position().was_tried.store(true, Ordering::Release);
    host.set_tried();
}

/// Lists the log, or reads what has been added since; returns the number of records.
async fn read<H: Host>(host: &Arc<H>) -> Result<usize> {
    let page = match host.position().next() {
        Some(next) => {
            let page = host.tail(next, READ_WAIT).await?;
            host.watch().apply_records(host.clock().now(), host.clock().wall(), &page.records);
            page
        }
        None => {
            let List { page, is_partial } = host.list().await?;
            let (now, wall) = (host.clock().now(), host.clock().wall());
            if is_partial {
                warn!(records = page.records.len(); "list of the trials is partial");
                host.count_failure();
                host.watch().apply_records(now, wall, &page.records);
            } else {
                host.watch().reset_records(now, wall, &page.records);
            }
            page
        }
    };
    host.position().set_next(Some(page.next));
    set_reached(host, true);
    Ok(page.records.len())
}

/// Appends the records of this instance until the token is cancelled.
pub async fn write<H: Host>(host: Arc<H>, stop: CancellationToken) {
    loop {
        let watch = host.watch();
        let filled = timeout(CLEAN_INTERVAL, watch.outbox_filled.notified());
        match stop.run_until_cancelled(filled).await {
            None => return,
            Some(Ok(())) => {}
            Some(Err(_)) if host.cleans() => watch.remove_expired_records(host.clock().wall()),
            Some(Err(_)) => {}
        }
        let records = watch.take_records(host.clock().wall());
        if records.is_empty() {
            continue;
        }
        if let Err(e) = host.append(&records).await {
            log::debug!(error:% = e, records = records.len(); "records of trials were not appended");
            watch.return_records(records);
            if stop.run_until_cancelled(sleep(RETRY_PAUSE)).await.is_none() {
                return;
            }
            watch.outbox_filled.notify_one();
        }
    }
}
