//! The streams of customers at each instance, reported between instances, from which every instance
//! divides the places of a service between its customers.
//!
//! Addresses a flood from one customer that arrives at all instances at once: none of them sees more
//! than its part of it.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{
    customer_load::{Count, CustomerHash, CustomerLoad, ServiceHash},
    domain,
    id::Instance,
    time::Instant,
};
use indexmap::IndexMap;

/// Maximum number of counts in one message.
pub const MAX_LOADS: usize = 32;

/// Maximum number of counts of one instance, its own or those that it reports.
pub const MAX_ENTRIES: usize = 1_024;

/// Maximum number of streams in one phase that a peer's count may state; larger counts are clamped.
/// An instance accepts fewer connections than this.
const MAX_STREAMS: u32 = 65_536;

/// Number of reports after which one also repeats counts that have not changed, since messages may
/// be lost. At 250 ms between reports, a lost one is corrected within a second.
const REFRESH_REPORTS: u32 = 4;

/// Number of times that a count is reported after its last stream has ended.
const ZERO_REPORTS: u8 = 3;

/// How long the highest number of instances stays in force after it has fallen. Peers behind a lost
/// link count as dead one after another, not all at once.
const INSTANCES_TTL: Duration = Duration::from_secs(10);

type Key = (ServiceHash, CustomerHash);

domain! {
    value
    /// Counts that changed since they were last reported.
    pub struct Loads {
        /// The counts.
        pub loads: Vec<CustomerLoad>,
    }
}

/// The streams of customers at this instance, and what it last reported of them.
#[derive(Debug, Clone, Default)]
pub struct LocalLoads {
    entries: IndexMap<Key, Entry>,
    reports: u32,
    /// Index of the next count that is repeated without a change.
    next_repeat: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    count: Count,
    reported: Count,
    /// Number of reports of an empty count.
    zero_reports: u8,
}

impl Entry {
    fn change(&self) -> u32 {
        let Self { count, reported, .. } = self;
        let waiting = count.waiting.abs_diff(reported.waiting);
        count.running.abs_diff(reported.running).saturating_add(waiting)
    }

    fn report(&mut self, &(service, customer): &Key) -> CustomerLoad {
        self.reported = self.count;
        self.zero_reports = if self.count.is_empty() { self.zero_reports + 1 } else { 0 };
        CustomerLoad { customer, service, count: self.count }
    }
}

impl LocalLoads {
    /// Sets the current counts; counts beyond [`MAX_ENTRIES`] are not reported.
    pub fn set(&mut self, loads: &[CustomerLoad]) {
        for entry in self.entries.values_mut() {
            entry.count = Count::default();
        }
        for load in loads {
            let key = (load.service, load.customer);
            if self.entries.len() < MAX_ENTRIES || self.entries.contains_key(&key) {
                self.entries.entry(key).or_default().count = load.count;
            }
        }
        self.entries.retain(|_, entry| {
            let was_reported = !entry.reported.is_empty() || entry.zero_reports > 0;
            !entry.count.is_empty() || (was_reported && entry.zero_reports < ZERO_REPORTS)
        });
    }

    /// Returns all counts as they were last reported, in messages for a new connection.
    pub fn last_reported(&self) -> Vec<Loads> {
        let reported = self.entries.iter().filter(|(_, entry)| !entry.reported.is_empty());
        let loads: Vec<CustomerLoad> = reported
            .map(|(&(service, customer), entry)| CustomerLoad {
                customer,
                service,
                count: entry.reported,
            })
            .collect();
        loads.chunks(MAX_LOADS).map(|loads| Loads { loads: loads.to_vec() }).collect()
    }

    /// Returns the counts that changed most since they were last reported, and in some reports
    /// others as well; marks them as reported. Returns `None` if there is nothing to report.
    pub fn take_changes(&mut self) -> Option<Loads> {
        self.reports = self.reports.wrapping_add(1);
        let mut changed: Vec<(usize, u32)> = Vec::new();
        for (index, entry) in self.entries.values().enumerate() {
            if entry.change() > 0 {
                changed.push((index, entry.change()));
            }
        }
        changed.sort_by_key(|&(_, change)| std::cmp::Reverse(change));
        changed.truncate(MAX_LOADS);
        let mut indices: Vec<usize> = changed.into_iter().map(|(index, _)| index).collect();
        if self.reports.is_multiple_of(REFRESH_REPORTS) {
            self.add_repeats(&mut indices);
        }
        let reported = indices.into_iter().filter_map(|index| {
            let (key, entry) = self.entries.get_index_mut(index)?;
            Some(entry.report(key))
        });
        let loads: Vec<CustomerLoad> = reported.collect();
        (!loads.is_empty()).then_some(Loads { loads })
    }

    /// Fills a report with counts that have not changed, in turn.
    fn add_repeats(&mut self, indices: &mut Vec<usize>) {
        let entries = self.entries.len();
        for _ in 0..entries {
            if indices.len() >= MAX_LOADS {
                return;
            }
            self.next_repeat = (self.next_repeat + 1) % entries;
            if !indices.contains(&self.next_repeat) {
                indices.push(self.next_repeat);
            }
        }
    }
}

/// The sums of the counts of all peers.
pub type Totals = IndexMap<(ServiceHash, CustomerHash), Count>;

/// The streams of customers at the other instances, as they report them.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::customer_load::{Count, CustomerHash, CustomerLoad, ServiceHash};
/// use goldcrestvale_member::customer_load::{Loads, PeerLoads};
///
/// let (service, customer) = (ServiceHash(1), CustomerHash(2));
/// let report = |running| {
///     let count = Count { running, waiting: 0 };
///     Loads { loads: vec![CustomerLoad { customer, service, count }] }
/// };
/// let mut peer_loads = PeerLoads::default();
/// peer_loads.receive(&"bole-1".parse()?, &report(4));
/// peer_loads.receive(&"bole-2".parse()?, &report(3));
/// peer_loads.receive(&"bole-2".parse()?, &report(5));
/// assert_eq!(peer_loads.totals()[&(service, customer)].running, 9);
/// peer_loads.forget(&"bole-1".parse()?);
/// assert_eq!(peer_loads.totals()[&(service, customer)].running, 5);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    peers: IndexMap<Instance, IndexMap<Key, Count>>,
    totals: Arc<Totals>,
    ignored: u64,
}

impl PeerLoads {
    /// Records the counts that a peer reported. Numbers beyond the bounds are clamped or ignored.
    pub fn receive(&mut self, from: &Instance, loads: &Loads) {
        let entries = self.peers.entry(from.clone()).or_default();
        let totals = Arc::make_mut(&mut self.totals);
        for load in &loads.loads {
            let key = (load.service, load.customer);
            let Count { running, waiting } = load.count;
            let count =
                Count { running: running.min(MAX_STREAMS), waiting: waiting.min(MAX_STREAMS) };
            let is_refused = entries.len() >= MAX_ENTRIES && !entries.contains_key(&key);
            self.ignored += u64::from(is_refused || count != load.count);
            if is_refused {
                continue;
            }
            let before = match count.is_empty() {
                true => entries.swap_remove(&key),
                false => entries.insert(key, count),
            };
            replace(totals, key, before.unwrap_or_default(), count);
        }
    }

    /// Removes a peer, whose streams end with it.
    pub fn forget(&mut self, instance: &Instance) {
        let Some(entries) = self.peers.shift_remove(instance) else { return };
        let totals = Arc::make_mut(&mut self.totals);
        for (key, count) in entries {
            replace(totals, key, count, Count::default());
        }
    }

    /// Returns the sums of the counts of all peers.
    pub fn totals(&self) -> &Arc<Totals> {
        &self.totals
    }

    /// Returns the number of counts that were beyond the bounds.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }
}

/// Replaces a peer's count in the totals.
fn replace(totals: &mut Totals, key: Key, before: Count, after: Count) {
    let total = totals.entry(key).or_default();
    total.running = total.running.saturating_sub(before.running).saturating_add(after.running);
    total.waiting = total.waiting.saturating_sub(before.waiting).saturating_add(after.waiting);
    if total.is_empty() {
        totals.swap_remove(&key);
    }
}

/// The last known number of instances, for an instance that no longer hears its peers.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_member::customer_load::InstanceCount;
///
/// let mut known = InstanceCount::default();
/// known.record(Instant(0), 29, 28);
/// known.record(Instant(0) + Duration::from_secs(2), 3, 2);
/// known.record(Instant(0) + Duration::from_secs(3), 1, 0);
/// assert_eq!(known.get(), 29);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct InstanceCount {
    count: u32,
    at: Instant,
}

impl InstanceCount {
    /// Records the number of instances and of those that this one is connected to. A lower number
    /// counts once it has lasted, and only while a peer is connected.
    pub fn record(&mut self, now: Instant, instances: u32, linked: u32) {
        let is_lasting = now.since(self.at) >= INSTANCES_TTL;
        if linked > 0 && (instances >= self.count || is_lasting) {
            *self = Self { count: instances, at: now };
        }
    }

    /// Returns the number of instances, at least 1.
    pub fn get(self) -> u32 {
        self.count.max(1)
    }
}
