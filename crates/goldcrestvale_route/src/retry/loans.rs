//! Retries that instances lend to each other.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::{
    customer_load::ServiceHash,
    id::Instance,
    retry_loan::{Ask, Grant, Return},
    time::Instant,
};
use smallvec::SmallVec;

use super::Window;

/// Divisor of the span that gives how long a loan may be used. A loan counts until a span after
/// that, and an instance that joins has to wait as long for its share.
const HOLD_DIVISOR: u32 = 10;

/// Divisor of the time of a loan that gives the margin for clocks that run at different rates.
const MARGIN_DIVISOR: u32 = 16;

/// Divisor of the time of a loan that gives how long before its end it covers no need any more, since
/// an answer takes a while.
const RENEWAL_DIVISOR: u32 = 4;

/// Minimum time between two requests, and time for which a refused retry is requested.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time between two requests while peers lend less than one retry.
const MAX_INTERVAL: Duration = Duration::from_millis(800);

/// Maximum number of retries that are requested at once, of all peers together.
const MAX_NEED: usize = 16;

/// Minimum number of peers that are asked at once.
const MIN_PEERS: u32 = 4;

/// Maximum number of peers that are asked at once.
const MAX_PEERS: u32 = 8;

/// Thousandths in a retry.
const MILLI: u32 = 1_000;

/// Multiple of the need that is requested, since peers may have less to lend.
const ASK_FACTOR: u32 = 2;

/// Minimum and maximum amount that is lent for one request, in thousandths of a retry.
const MIN_GRANT: u32 = 100;
const MAX_GRANT: u32 = 8_000;

/// Number of loans to peers that are remembered, to answer each request only once and to take back
/// what was not used.
const MAX_LENT: usize = 256;

/// A request to several peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Round {
    /// The request to each of them.
    pub ask: Ask,
    /// Number of peers.
    pub peers: u32,
}

/// The loans of one service at an instance: retries borrowed from peers, and requests of both
/// sides.
///
/// The lender counts a loan as retries of its own window for as long as the borrower may use it and
/// a span beyond. It counts that time from the receipt of the request, the borrower from sending
/// it, which is earlier. So loans add nothing to what all windows together allow, whatever messages
/// are lost, delayed or repeated, and whichever instances end. Borrowed retries are not lent on.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::{customer_load::ServiceHash, time::Instant};
/// use goldcrestvale_route::retry::{Loans, Window};
///
/// let span = Duration::from_secs(10);
/// let (asker, lender) = ("bole-1".parse()?, "bole-2".parse()?);
/// let mut borrowing = Loans::new(ServiceHash(7), span, 1);
/// let mut lending = Loans::new(ServiceHash(7), span, 900);
/// let mut window = Window::new(span, 0.0, 8.0);
///
/// borrowing.record(Instant(0), false);
/// let round = borrowing.next_round(Instant(0), 0, 1).expect("a request");
/// let grant = lending.answer(Instant(5_000), &mut window, &asker, round.ask).expect("a loan");
/// assert!(borrowing.receive(Instant(9_000), &lender, grant) > 0);
/// assert!(borrowing.try_take(Instant(9_000)));
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Loans {
    service: ServiceHash,
    hold: Duration,
    next_sequence: u64,
    interval: Duration,
    next_round_at: Instant,
    rounds: VecDeque<SentRound>,
    borrowed: SmallVec<[Borrowed; 8]>,
    used: VecDeque<Instant>,
    refused: VecDeque<Instant>,
    lent: VecDeque<Lent>,
}

/// A request whose answers may still be used.
#[derive(Debug, Clone)]
struct SentRound {
    sequence: u64,
    at: Instant,
    milli_retries: u32,
    lenders: SmallVec<[Instance; MAX_PEERS as usize]>,
    /// Sum of the answers, in thousandths of a retry.
    lent: u32,
}

#[derive(Debug, Clone)]
struct Borrowed {
    lender: Instance,
    sequence: u64,
    milli_retries: u32,
    until: Instant,
}

#[derive(Debug, Clone)]
struct Lent {
    borrower: Instance,
    sequence: u64,
    /// Amount that may still be returned.
    milli_retries: u32,
    until: Instant,
}

impl Loans {
    /// Creates the loans of a service with the length of the window. No other incarnation of the
    /// instance may use the sequence numbers from the first one on.
    pub fn new(service: ServiceHash, span: Duration, first_sequence: u64) -> Self {
        Self {
            service,
            hold: span / HOLD_DIVISOR,
            next_sequence: first_sequence,
            interval: MIN_INTERVAL,
            next_round_at: Instant::default(),
            rounds: VecDeque::new(),
            borrowed: SmallVec::new(),
            used: VecDeque::new(),
            refused: VecDeque::new(),
            lent: VecDeque::new(),
        }
    }

    /// Changes the length of the window. Borrowed retries stay usable until they expire.
    pub fn set_span(&mut self, span: Duration) {
        self.hold = span / HOLD_DIVISOR;
    }

    /// Uses a borrowed retry; returns whether there was one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if self.usable(now) < MILLI {
            return false;
        }
        let mut rest = MILLI;
        self.borrowed.sort_unstable_by_key(|borrowed| borrowed.until);
        for borrowed in self.borrowed.iter_mut().filter(|borrowed| now < borrowed.until) {
            let used = rest.min(borrowed.milli_retries);
            borrowed.milli_retries -= used;
            rest -= used;
        }
        true
    }

    /// Records that a retry was allowed or refused, from which the need is estimated.
    pub fn record(&mut self, now: Instant, allowed: bool) {
        let events = if allowed { &mut self.used } else { &mut self.refused };
        if events.len() == MAX_NEED {
            events.pop_front();
        }
        events.push_back(now);
    }

    /// Returns the next request to some of the connected `peers`, if it is due and the `left` retries
    /// of the own window and the borrowed ones do not cover the need: what was refused, and as much as
    /// was used lately.
    pub fn next_round(&mut self, now: Instant, left: u32, peers: u32) -> Option<Round> {
        self.used.retain(|at| now.since(*at) < self.hold);
        self.refused.retain(|at| now.since(*at) < MIN_INTERVAL);
        let borrowed = self.usable(now + self.hold / RENEWAL_DIVISOR) / MILLI;
        let available = left.saturating_add(borrowed);
        let expected = (self.used.len() + 1).saturating_sub(available as usize);
        let need = (self.refused.len() + expected).min(MAX_NEED) as u32;
        let is_short = available == 0 || expected > 0;
        if now < self.next_round_at || !is_short || need == 0 || peers == 0 {
            return None;
        }
        self.rounds.retain(|round| now.since(round.at) < self.hold.max(MAX_INTERVAL * 2));
        self.interval = match self.rounds.back() {
            Some(last) if last.lent < MILLI => (self.interval * 2).min(MAX_INTERVAL),
            _ => MIN_INTERVAL,
        };
        self.next_round_at = now + self.interval;
        let peers = (need * ASK_FACTOR).clamp(MIN_PEERS, MAX_PEERS).min(peers);
        let ask = Ask {
            service: self.service,
            sequence: self.next_sequence,
            milli_retries: (need * MILLI * ASK_FACTOR).div_ceil(peers),
        };
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.rounds.push_back(SentRound {
            sequence: ask.sequence,
            at: now,
            milli_retries: ask.milli_retries,
            lenders: SmallVec::new(),
            lent: 0,
        });
        Some(Round { ask, peers })
    }

    /// Adds the retries that a peer lends; returns the thousandths that may be used. A loan that answers
    /// no request of this incarnation, or that came before, is ignored; one that comes too late is
    /// returned.
    pub fn receive(&mut self, now: Instant, from: &Instance, grant: Grant) -> u32 {
        let round = self.rounds.iter_mut().find(|round| round.sequence == grant.sequence);
        let Some(round) = round.filter(|round| !round.lenders.contains(from)) else { return 0 };
        let hold = Duration::from_millis(grant.hold_ms.into()).min(self.hold);
        let until = round.at + (hold - hold / MARGIN_DIVISOR);
        let milli_retries = grant.milli_retries.min(round.milli_retries);
        let lender = from.clone();
        round.lenders.push(from.clone());
        round.lent = round.lent.saturating_add(milli_retries);
        self.borrowed.push(Borrowed { lender, sequence: grant.sequence, milli_retries, until });
        if now < until { milli_retries } else { 0 }
    }

    /// Removes the borrowed retries that expired, and returns those that were not used to their lenders.
    pub fn take_returns(&mut self, now: Instant) -> Vec<(Instance, Return)> {
        let expired = self.borrowed.iter().filter(|borrowed| now >= borrowed.until);
        let unused = expired.filter(|borrowed| borrowed.milli_retries > 0).map(|borrowed| {
            let Borrowed { sequence, milli_retries, .. } = *borrowed;
            (borrowed.lender.clone(), Return { service: self.service, sequence, milli_retries })
        });
        let unused = unused.collect();
        self.borrowed.retain(|borrowed| borrowed.milli_retries > 0 && now < borrowed.until);
        unused
    }

    /// Takes back retries of a loan that a peer did not use. Only the first return of a loan counts;
    /// another one is a repeated message.
    pub fn take_back(&mut self, window: &mut Window, from: &Instance, unused: Return) {
        let is_its = |lent: &&mut Lent| lent.borrower == *from && lent.sequence == unused.sequence;
        if let Some(lent) = self.lent.iter_mut().find(is_its) {
            window.take_back(lent.until, unused.milli_retries.min(lent.milli_retries));
            lent.milli_retries = 0;
        }
    }

    /// Lends retries of the own window to a peer that requests them. A repeated request gets no
    /// second loan, which the peer would ignore.
    pub fn answer(
        &mut self,
        now: Instant,
        window: &mut Window,
        from: &Instance,
        ask: Ask,
    ) -> Option<Grant> {
        let is_known = |lent: &Lent| lent.borrower == *from && lent.sequence == ask.sequence;
        if self.lent.iter().any(is_known) {
            return None;
        }
        // The borrower does not use the loan for longer than this number says.
        let hold_ms = u32::try_from(self.hold.as_millis()).unwrap_or(u32::MAX);
        let milli_retries = ask.milli_retries.min(MAX_GRANT);
        if milli_retries == 0 || window.spare(now, self.hold) < MIN_GRANT {
            return None;
        }
        let milli_retries = window.lend(now, milli_retries, self.hold);
        if self.lent.len() == MAX_LENT {
            self.lent.pop_front();
        }
        let until = now + self.hold;
        let (borrower, sequence) = (from.clone(), ask.sequence);
        self.lent.push_back(Lent { borrower, sequence, milli_retries, until });
        Some(Grant { service: self.service, sequence, milli_retries, hold_ms })
    }

    /// Returns the thousandths of borrowed retries that have not expired.
    fn usable(&self, now: Instant) -> u32 {
        let usable = self.borrowed.iter().filter(|borrowed| now < borrowed.until);
        usable.map(|borrowed| borrowed.milli_retries).fold(0, u32::saturating_add)
    }
}
