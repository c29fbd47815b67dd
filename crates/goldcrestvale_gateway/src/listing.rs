//! The records of the directory, as read up to an offset.

use std::collections::HashMap;

use goldcrestvale_base::id::Offset;

use crate::port::{Change, Page, Registration};

/// The newest record of each key of the directory, up to an offset.
///
/// Instances that read the directory up to the same offset hold the same records, so one of them
/// can send the others what changed since an earlier offset. Heartbeats, which change only the
/// revision of a record, are no changes.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::id::Offset;
/// use goldcrestvale_gateway::{Listing, port::{Change, Page}};
///
/// let gone = Change::Gone("engine-1".to_owned());
/// let mut listing = Listing::default();
/// assert_eq!(listing.apply(&Page { changes: vec![gone], next: Offset(7) }, true), Some(vec![]));
/// assert_eq!(listing.next(), Some(Offset(7)));
/// // A page that was read before does not undo later ones.
/// assert_eq!(listing.apply(&Page { changes: vec![], next: Offset(5) }, false), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Listing {
    next: Option<Offset>,
    /// Whether the records after `next` were dropped, so that a complete list is needed.
    is_trimmed: bool,
    records: HashMap<String, Registration>,
}

impl Listing {
    /// Returns the offset up to which the records are known, if a list was read.
    pub fn next(&self) -> Option<Offset> {
        self.next
    }

    /// Returns the offset to read from, or `None` if a complete list is needed.
    pub fn read_from(&self) -> Option<Offset> {
        self.next.filter(|_| !self.is_trimmed)
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &str) -> Option<&Registration> {
        self.records.get(key)
    }

    /// Records that the directory dropped the next records, so that a complete list is needed.
    pub fn restart(&mut self) {
        self.is_trimmed = true;
    }

    /// Applies a page and returns its changes, or `None` if the page is older than the records. A
    /// complete list removes the records that it lacks.
    pub fn apply(&mut self, page: &Page, is_complete: bool) -> Option<Vec<Change>> {
        if self.next.is_some_and(|next| page.next < next) {
            return None;
        }
        self.next = Some(page.next);
        let mut changes: Vec<Change> = Vec::new();
        self.is_trimmed &= !is_complete;
        if is_complete {
            let is_listed = |key: &str| {
                page.changes.iter().any(|change| match change {
                    Change::Registered(registration) => registration.upstream.as_str() == key,
                    _ => false,
                })
            };
            let absent: Vec<String> =
                self.records.keys().filter(|key| !is_listed(key)).cloned().collect();
            for key in absent {
                self.records.remove(&key);
                changes.push(Change::Gone(key));
            }
        }
        changes.extend(page.changes.iter().filter(|change| self.record(change)).cloned());
        Some(changes)
    }

    /// Records a change and returns whether it has an effect.
    fn record(&mut self, change: &Change) -> bool {
        match change {
            Change::Registered(registration) => {
                let key = registration.upstream.as_str();
                let revision = registration.revision;
                let is_heartbeat = self.records.get(key).is_some_and(|known| {
                    *registration == Registration { revision, ..known.clone() }
                });
                self.records.insert(key.to_owned(), registration.clone());
                !is_heartbeat
            }
            Change::Gone(key) | Change::Unreadable { key, .. } => {
                self.records.remove(key).is_some()
            }
            Change::Configuration(_) => false,
        }
    }
}
