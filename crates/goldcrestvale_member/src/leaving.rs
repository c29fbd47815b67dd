//! Upstreams that are leaving: they accept no new work.
//!
//! An upstream is leaving as soon as any source reports it. The mark is sticky for the
//! incarnation: no source can withdraw it, and it ends only with the incarnation.

use std::time::Duration;

use goldcrestvale_base::{
    domain,
    id::Upstream,
    time::{Instant, Wall},
};
use indexmap::IndexMap;
use serde::Serialize;
use smallvec::SmallVec;

/// Time for which the marks of an ended incarnation or a removed upstream are kept.
pub const RETENTION: Duration = Duration::from_secs(120);

/// Time for which the marks of an upstream are kept of which no load report was ever read.
pub const UNSEEN_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of tracked upstreams.
const MAX_UPSTREAMS: usize = 32_768;

/// Maximum number of ended incarnations that are remembered for each upstream.
const MAX_ENDED: usize = 4;

domain! {
    copy
    /// Source of a mark.
    #[serde(rename_all = "kebab-case")]
    pub enum Source {
        /// The platform's list.
        List,
        /// The upstream's own load report.
        Report,
        /// The upstream's rejection of a request.
        Refusal,
        /// An operator.
        Operator,
    }
}

domain! {
    value
    /// A report that an upstream is leaving.
    pub struct Mark {
        /// The upstream.
        pub upstream: Upstream,
        /// Its incarnation, if the source reports one.
        pub incarnation: Option<String>,
        /// Where the report comes from.
        pub source: Source,
        /// Wall time that the report describes.
        pub as_of: Wall,
    }
}

type Sources = SmallVec<[Source; 4]>;

/// The current incarnation of an upstream.
#[derive(Debug, Clone, Serialize)]
struct Current {
    incarnation: String,
    /// Wall time at which it replaced an earlier one, or `None` for the first known.
    replaced_at: Option<Wall>,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Record {
    #[serde(rename = "life")]
    current: Option<Current>,
    /// Earlier incarnations, which a delayed report cannot bring back.
    ended: SmallVec<[String; MAX_ENDED]>,
    /// Sources by incarnation; the empty string stands for an unknown one.
    marks: IndexMap<String, Sources>,
    /// When anything was last reported of the upstream.
    #[serde(rename = "touched")]
    updated: Instant,
    /// When the upstream was removed from the list.
    removed: Option<Instant>,
    /// When the marks of ended incarnations are to be dropped.
    drop_at: Option<Instant>,
}

/// The upstreams that are leaving.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{id::Upstream, time::{Instant, Wall}};
/// use goldcrestvale_member::leaving::{Mark, Set, Source};
///
/// let upstream: Upstream = "engine-1".parse()?;
/// let mut set = Set::default();
/// set.record_incarnation(Instant(0), Wall(0), &upstream, "a1");
/// let mark = Mark {
///     upstream: upstream.clone(),
///     incarnation: None,
///     source: Source::List,
///     as_of: Wall(0),
/// };
/// assert!(set.mark(Instant(1), &mark).is_some());
/// assert!(set.contains(&upstream));
/// set.record_incarnation(Instant(9), Wall(9), &upstream, "a2");
/// assert!(!set.contains(&upstream));
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default, Serialize)]
#[serde(transparent)]
pub struct Set {
    upstreams: IndexMap<Upstream, Record>,
}

impl Set {
    /// Records the incarnation that an upstream's load report names.
    pub fn record_incarnation(
        &mut self,
        now: Instant,
        at: Wall,
        upstream: &Upstream,
        incarnation: &str,
    ) {
        if !self.has_capacity(upstream) {
            return;
        }
        let record = self.upstreams.entry(upstream.clone()).or_default();
        record.removed = None;
        record.updated = now;
        record.record_incarnation(now, at, incarnation);
    }

    /// Applies a mark; returns it in the form to forward if it is new.
    ///
    /// A mark without an incarnation applies to the current one, unless it describes a time before
    /// that one replaced an earlier one.
    pub fn mark(&mut self, now: Instant, mark: &Mark) -> Option<Mark> {
        if !self.has_capacity(&mark.upstream) {
            return None;
        }
        let record = self.upstreams.entry(mark.upstream.clone()).or_default();
        record.updated = now;
        let incarnation = record.incarnation_of(mark)?;
        let sources = record.marks.entry(incarnation.clone()).or_default();
        let is_new = sources.is_empty();
        if !sources.contains(&mark.source) {
            sources.push(mark.source);
        }
        let incarnation = (!incarnation.is_empty()).then_some(incarnation);
        is_new.then(|| Mark { incarnation, ..mark.clone() })
    }

    /// Records that an upstream is no longer on the platform's list.
    pub fn remove(&mut self, now: Instant, upstream: &Upstream) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.removed.get_or_insert(now);
        }
    }

    /// Removes expired upstreams and the marks of incarnations that ended long ago.
    pub fn sweep(&mut self, now: Instant) {
        self.upstreams.retain(|_, record| {
            record.sweep(now);
            !record.is_expired(now)
        });
    }

    /// Returns whether an upstream accepts no new work.
    pub fn contains(&self, upstream: &Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(Record::is_leaving)
    }

    /// Returns whether an incarnation of an upstream is marked.
    pub fn is_marked(&self, upstream: &Upstream, incarnation: &str) -> bool {
        self.upstreams.get(upstream).is_some_and(|record| record.marks.contains_key(incarnation))
    }

    /// Returns the marks in force, to be sent to peers.
    pub fn marks(&self) -> impl Iterator<Item = Mark> {
        self.upstreams.iter().filter(|(_, record)| record.is_leaving()).flat_map(
            |(upstream, record)| {
                record.marks.iter().filter_map(|(incarnation, sources)| {
                    Some(Mark {
                        upstream: upstream.clone(),
                        incarnation: (!incarnation.is_empty()).then(|| incarnation.clone()),
                        source: *sources.first()?,
                        as_of: Wall::default(),
                    })
                })
            },
        )
    }

    /// Returns the sources that report an upstream as leaving.
    pub fn sources(&self, upstream: &Upstream) -> Vec<Source> {
        let Some(record) = self.upstreams.get(upstream) else { return Vec::new() };
        let of_current =
            record.current.as_ref().and_then(|current| record.marks.get(&current.incarnation));
        match of_current {
            Some(sources) => sources.to_vec(),
            None if record.current.is_none() => record.marks.values().flatten().copied().collect(),
            None => Vec::new(),
        }
    }

    fn has_capacity(&self, upstream: &Upstream) -> bool {
        self.upstreams.len() < MAX_UPSTREAMS || self.upstreams.contains_key(upstream)
    }
}

impl Record {
    fn record_incarnation(&mut self, now: Instant, at: Wall, incarnation: &str) {
        let current = self.current.as_ref().map(|current| current.incarnation.as_str());
        if current == Some(incarnation) || self.ended.iter().any(|ended| ended == incarnation) {
            return;
        }
        let replaced = self.current.take();
        let replaced_at = replaced.as_ref().map(|_| at);
        if let Some(old) = replaced {
            if self.ended.len() == MAX_ENDED {
                self.ended.remove(0);
            }
            self.ended.push(old.incarnation);
            self.drop_at = Some(now + RETENTION);
        } else if let Some(sources) = self.marks.shift_remove("") {
            self.marks.entry(incarnation.to_owned()).or_insert(sources);
        }
        self.current = Some(Current { incarnation: incarnation.to_owned(), replaced_at });
    }

    /// Returns the incarnation that a mark applies to, or `None` if the mark is out of date.
    fn incarnation_of(&self, mark: &Mark) -> Option<String> {
        match (&mark.incarnation, &self.current) {
            (Some(incarnation), _) => {
                (!self.ended.contains(incarnation)).then(|| incarnation.clone())
            }
            (None, None) => Some(String::new()),
            (None, Some(current)) => {
                let is_up_to_date =
                    current.replaced_at.is_none_or(|replaced| mark.as_of >= replaced);
                is_up_to_date.then(|| current.incarnation.clone())
            }
        }
    }

    fn is_leaving(&self) -> bool {
        match &self.current {
            Some(current) => self.marks.contains_key(&current.incarnation),
            None => !self.marks.is_empty(),
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        let is_unseen_expired =
            self.current.is_none() && now.since(self.updated) >= UNSEEN_RETENTION;
        is_unseen_expired || self.removed.is_some_and(|removed| now.since(removed) >= RETENTION)
    }

    fn sweep(&mut self, now: Instant) {
        if self.drop_at.is_some_and(|drop_at| now >= drop_at) {
            self.drop_at = None;
            let current = self.current.as_ref().map(|current| current.incarnation.as_str());
            self.marks.retain(|incarnation, _| Some(incarnation.as_str()) == current);
        }
    }
}
