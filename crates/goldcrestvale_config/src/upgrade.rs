//! Determines when a major version of a kind may be activated.

use std::collections::BTreeMap;

use crate::{change::SchemaUpgrade, fold::Fold, record::Kind};

impl Fold {
    /// Returns the upgrades for which pending changes wait and which every live instance supports.
    ///
    /// `supported_by_all` is, for each kind, the minimum of the instances'
    /// [`Table::majors`](crate::schema::Table::majors) over every instance that membership
    /// considers live. Errors in it cannot make states diverge: only the appended
    /// [`SchemaUpgrade`] changes the state, at the same offset on every instance.
    pub fn upgrades(&self, supported_by_all: &BTreeMap<Kind, u16>) -> Vec<SchemaUpgrade> {
        let mut wanted: BTreeMap<&Kind, u16> = BTreeMap::new();
        for (key, slot) in self.state.slots() {
            let allowed = supported_by_all.get(&key.kind).copied().unwrap_or(0);
            let waiting = slot.pending.iter().filter(|revision| revision.body.is_some());
            let majors =
                waiting.map(|revision| revision.schema.major).filter(|major| *major <= allowed);
            if let Some(major) = majors.max() {
                let highest = wanted.entry(&key.kind).or_insert(major);
                *highest = major.max(*highest);
            }
        }
        let upgrades = wanted.into_iter().filter(|(kind, major)| *major > self.state.major(kind));
        upgrades.map(|(kind, major)| SchemaUpgrade { kind: kind.clone(), major }).collect()
    }

    /// Returns the kind and name of every entity with changes that wait for a major version.
    pub fn pending(&self) -> impl Iterator<Item = &crate::link::EntityKey> {
        self.state.slots().filter(|(_, slot)| !slot.pending.is_empty()).map(|(key, _)| key)
    }
}

/// Returns the highest major version of each kind that all given instances support.
///
/// # Examples
///
/// ```
/// use goldcrestvale_config::{upgrade::common_majors, record::Kind, schema::Table};
///
/// let newer = Table::default().with(Kind::Model, 2, Ok).majors();
/// let common = common_majors([newer, Table::default().majors()]);
/// assert_eq!(common.get(&Kind::Model), Some(&1));
/// ```
pub fn common_majors(majors: impl IntoIterator<Item = BTreeMap<Kind, u16>>) -> BTreeMap<Kind, u16> {
    let mut majors = majors.into_iter();
    let Some(mut common) = majors.next() else { return BTreeMap::new() };
    for other in majors {
        common.retain(|kind, major| {
            let supported = other.get(kind).copied().unwrap_or(0);
            *major = supported.min(*major);
            *major > 0
        });
    }
    common
}
