//! The changes from one version of the configuration to another.

use std::{collections::HashMap, hash::Hash, sync::Arc};

use snafu::{OptionExt, Snafu, ensure};

use super::{Bounds, Configuration, Customer, Pool, Route};

/// An error: the changes do not fit the configuration that they are applied to.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The changes start from another version.
    #[snafu(display("the changes start from version {base}, not from {found}"))]
    Base {
        /// Version that the changes start from.
        base: u64,
        /// Version that they were applied to.
        found: u64,
    },
    /// The changes keep elements that the version does not have.
    #[snafu(display("the changes keep {count} elements from {from} on, of {found}"))]
    Range {
        /// First element to keep.
        from: usize,
        /// Number of elements to keep.
        count: usize,
        /// Number of elements of the version.
        found: usize,
    },
}

goldcrestvale_base::domain! {
    value
    /// A part of a list, in terms of an earlier list.
    #[serde(rename_all = "kebab-case")]
    pub enum Segment<T> {
        /// Elements of the earlier list.
        Keep {
            /// Index of the first one.
            from: usize,
            /// Number of elements.
            count: usize,
        },
        /// New elements.
        Insert(Vec<T>),
    }
}

goldcrestvale_base::domain! {
    record
    /// The changes from one version of the configuration to another.
    ///
    /// A deployment may have thousands of routes, of which most changes concern a few.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use goldcrestvale_route::forward::{Bounds, ChangeSet, Configuration};
    ///
    /// # let bounds = Bounds {
    /// #     header_bytes: 1,
    /// #     body_bytes: 1,
    /// #     header_timeout: Duration::ZERO,
    /// #     idle_timeout: Duration::ZERO,
    /// # };
    /// let old = Configuration {
    ///     version: 3, routes: vec![], pools: vec![], bounds, customers: None,
    /// };
    /// let new = Configuration { version: 7, customers: Some(vec![]), ..old.clone() };
    /// assert_eq!(ChangeSet::between(&old, &new).apply(&old)?, new);
    /// # Ok::<(), goldcrestvale_route::forward::Error>(())
    /// ```
    pub struct ChangeSet {
        /// Version that the changes start from.
        pub base: u64,
        /// Version that they lead to.
        pub version: u64,
        /// Routes.
        pub routes: Vec<Segment<Arc<Route>>>,
        /// Services.
        pub pools: Vec<Pool>,
        /// Limits on what callers may send.
        pub bounds: Bounds,
        /// Customers; `None` if requests need no credential.
        pub customers: Option<Vec<Segment<Customer>>>,
    }
}

impl ChangeSet {
    /// Returns the changes from one version to another.
    pub fn between(base: &Configuration, next: &Configuration) -> Self {
        let known = base.customers.as_deref().unwrap_or_default();
        Self {
            base: base.version,
            version: next.version,
            routes: segments(&base.routes, &next.routes),
            pools: next.pools.clone(),
            bounds: next.bounds,
            customers: next.customers.as_deref().map(|customers| segments(known, customers)),
        }
    }

    /// Applies the changes to the version that they start from.
    ///
    /// # Errors
    ///
    /// Fails if `base` is another version.
    pub fn apply(&self, base: &Configuration) -> Result<Configuration, Error> {
        ensure!(base.version == self.base, BaseSnafu { base: self.base, found: base.version });
        let known = base.customers.as_deref().unwrap_or_default();
        Ok(Configuration {
            version: self.version,
            routes: join(&base.routes, &self.routes)?,
            pools: self.pools.clone(),
            bounds: self.bounds,
            customers: match &self.customers {
                Some(segments) => Some(join(known, segments)?),
                None => None,
            },
        })
    }
}

fn segments<T: Clone + Eq + Hash>(base: &[T], next: &[T]) -> Vec<Segment<T>> {
    let mut segments = Vec::new();
    // Built on the first difference; most versions differ at few places.
    let mut index: Option<HashMap<&T, usize>> = None;
    let mut cursor = 0;
    for element in next {
        let position = match base.get(cursor) {
            Some(expected) if expected == element => Some(cursor),
            _ => {
                let index = index.get_or_insert_with(|| base.iter().zip(0..).collect());
                index.get(element).copied()
            }
        };
        match (position, segments.last_mut()) {
            (Some(position), Some(Segment::Keep { from, count })) if *from + *count == position => {
                *count += 1;
            }
            (Some(from), _) => segments.push(Segment::Keep { from, count: 1 }),
            (None, Some(Segment::Insert(elements))) => elements.push(element.clone()),
            (None, _) => segments.push(Segment::Insert(vec![element.clone()])),
        }
        cursor = position.map_or(cursor, |position| position + 1);
    }
    segments
}

fn join<T: Clone>(base: &[T], segments: &[Segment<T>]) -> Result<Vec<T>, Error> {
    let mut joined = Vec::new();
    for segment in segments {
        match segment {
            Segment::Keep { from, count } => {
                let range = *from..from.saturating_add(*count);
                let found = base.len();
                let kept = base.get(range);
                let kept = kept.context(RangeSnafu { from: *from, count: *count, found })?;
                joined.extend_from_slice(kept);
            }
            Segment::Insert(elements) => joined.extend_from_slice(elements),
        }
    }
    Ok(joined)
}
