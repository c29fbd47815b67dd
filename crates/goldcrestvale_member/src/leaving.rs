//! Upstreams that take no new work.
//!
//! An upstream is leaving as soon as any source says so. That is sticky for its incarnation: no
//! source can take it back, and it ends only with the incarnation.

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

/// Time for which the marks of an upstream of which no report was ever read are kept.
pub const UNSEEN_RETENTION: Duration = Duration::from_secs(600);

/// Most upstreams that are tracked.
const MAX_UPSTREAMS: usize = 32_768;

/// Ended incarnations that are remembered for each upstream.
const MAX_ENDED: usize = 4;

domain! {
    copy
    /// Who said that an upstream leaves.
    #[serde(rename_all = "kebab-case")]
    pub enum Source {
        /// The platform's list.
        List,
        /// The upstream's own load report.
        Report,
        /// The upstream's refusal of a request.
        Refusal,
        /// An operator.
        Operator,
    }
}

domain! {
    value
    /// A statement that an upstream leaves.
    pub struct Mark {
        /// The upstream.
        pub upstream: Upstream,
        /// Its incarnation, if the source tells it.
        pub incarnation: Option<String>,
        /// Who said so.
        pub source: Source,
        /// Wall time at which it was so.
        pub as_of: Wall,
    }
}

type Sources = SmallVec<[Source; 4]>;

/// The life of an upstream that is running.
#[derive(Debug, Clone, Serialize)]
struct Life {
    incarnation: String,
    /// Wall time at which it took the place of an earlier one, or `None` for the first known.
    replaced_at: Option<Wall>,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Record {
    life: Option<Life>,
    /// Earlier incarnations, which a late report cannot bring back.
    ended: SmallVec<[String; MAX_ENDED]>,
    /// Sources by incarnation; the empty text stands for one that is not known.
    marks: IndexMap<String, Sources>,
    /// When anything was last said about the upstream.
    touched: Instant,
    /// When the upstream vanished from the list.
    removed: Option<Instant>,
    /// When marks of ended incarnations are dropped.
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
    /// Notes the incarnation that an upstream names in its load report.
    pub fn record_incarnation(
        &mut self,
        now: Instant,
        at: Wall,
        upstream: &Upstream,
        incarnation: &str,
    ) {
        if !self.has_room(upstream) {
            return;
        }
        let record = self.upstreams.entry(upstream.clone()).or_default();
        record.removed = None;
        record.touched = now;
        record.see(now, at, incarnation);
    }

    /// Takes a statement, and returns it as it should be passed on if it is news.
    ///
    /// A statement without an incarnation counts for the present one, unless it describes a time
    /// before that one took the place of an earlier one.
    pub fn mark(&mut self, now: Instant, mark: &Mark) -> Option<Mark> {
        if !self.has_room(&mark.upstream) {
            return None;
        }
        let record = self.upstreams.entry(mark.upstream.clone()).or_default();
        record.touched = now;
        let incarnation = record.bind(mark)?;
        let sources = record.marks.entry(incarnation.clone()).or_default();
        let news = sources.is_empty();
        if !sources.contains(&mark.source) {
            sources.push(mark.source);
        }
        let incarnation = (!incarnation.is_empty()).then_some(incarnation);
        news.then(|| Mark { incarnation, ..mark.clone() })
    }

    /// Notes that an upstream is no longer on the platform's list.
    pub fn remove(&mut self, now: Instant, upstream: &Upstream) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.removed.get_or_insert(now);
        }
    }

    /// Drops what belongs to incarnations that ended long ago.
    pub fn sweep(&mut self, now: Instant) {
        self.upstreams.retain(|_, record| {
            record.sweep(now);
            !record.is_forgotten(now)
        });
    }

    /// Returns whether an upstream takes no new work.
    pub fn contains(&self, upstream: &Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(Record::is_leaving)
    }

    /// Returns the statements in force, to be passed on.
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

    /// Returns the sources that say an upstream leaves.
    pub fn sources(&self, upstream: &Upstream) -> Vec<Source> {
        let Some(record) = self.upstreams.get(upstream) else { return Vec::new() };
        let of_life = record.life.as_ref().and_then(|life| record.marks.get(&life.incarnation));
        match of_life {
            Some(sources) => sources.to_vec(),
            None if record.life.is_none() => record.marks.values().flatten().copied().collect(),
            None => Vec::new(),
        }
    }

    fn has_room(&self, upstream: &Upstream) -> bool {
        self.upstreams.len() < MAX_UPSTREAMS || self.upstreams.contains_key(upstream)
    }
}

impl Record {
    fn see(&mut self, now: Instant, at: Wall, incarnation: &str) {
        let present = self.life.as_ref().map(|life| life.incarnation.as_str());
        if present == Some(incarnation) || self.ended.iter().any(|ended| ended == incarnation) {
            return;
        }
        let replaced = self.life.take();
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
        self.life = Some(Life { incarnation: incarnation.to_owned(), replaced_at });
    }

    /// Returns the incarnation that a statement counts for, or `None` if it is out of date.
    fn bind(&self, mark: &Mark) -> Option<String> {
        match (&mark.incarnation, &self.life) {
            (Some(incarnation), _) => {
                (!self.ended.contains(incarnation)).then(|| incarnation.clone())
            }
            (None, None) => Some(String::new()),
            (None, Some(life)) => {
                let current = life.replaced_at.is_none_or(|replaced| mark.as_of >= replaced);
                current.then(|| life.incarnation.clone())
            }
        }
    }

    fn is_leaving(&self) -> bool {
        match &self.life {
            Some(life) => self.marks.contains_key(&life.incarnation),
            None => !self.marks.is_empty(),
        }
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        let unseen = self.life.is_none() && now.since(self.touched) >= UNSEEN_RETENTION;
        unseen || self.removed.is_some_and(|removed| now.since(removed) >= RETENTION)
    }

    fn sweep(&mut self, now: Instant) {
        if self.drop_at.is_some_and(|drop_at| now >= drop_at) {
            self.drop_at = None;
            let present = self.life.as_ref().map(|life| life.incarnation.as_str());
            self.marks.retain(|incarnation, _| Some(incarnation.as_str()) == present);
        }
    }
}
