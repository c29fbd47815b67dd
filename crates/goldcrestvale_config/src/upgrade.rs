//! Decides when a major version of a kind may be put in force.

use std::collections::BTreeMap;

use crate::{change::SchemaUpgrade, fold::Fold, record::Kind};

impl Fold {
    /// Returns the major versions that held changes wait for and that every live instance reads.
    ///
    /// `read_by_all` is the least of the instances' [`Table::majors`](crate::schema::Table::majors)
    /// for each kind, over every instance that membership takes for live. Its errors are harmless
    /// to the state: only the appended [`SchemaUpgrade`] changes anything, at one offset for all.
    pub fn upgrades(&self, read_by_all: &BTreeMap<Kind, u16>) -> Vec<SchemaUpgrade> {
        let mut wanted: BTreeMap<&Kind, u16> = BTreeMap::new();
        for (address, slot) in self.state.slots() {
            let allowed = read_by_all.get(&address.kind).copied().unwrap_or(0);
            let waiting = slot.held.iter().filter(|step| step.body.is_some());
            let majors = waiting.map(|step| step.schema.major).filter(|major| *major <= allowed);
            if let Some(major) = majors.max() {
                let highest = wanted.entry(&address.kind).or_insert(major);
                *highest = major.max(*highest);
            }
        }
        let raises = wanted.into_iter().filter(|(kind, major)| *major > self.state.major(kind));
        raises.map(|(kind, major)| SchemaUpgrade { kind: kind.clone(), major }).collect()
    }

    /// Returns the kind and name of every entity with changes that wait for a major version.
    pub fn pending(&self) -> impl Iterator<Item = &crate::link::EntityKey> {
        self.state.slots().filter(|(_, slot)| !slot.held.is_empty()).map(|(address, _)| address)
    }
}

/// Returns the majors that all of several instances read.
///
/// # Examples
///
/// ```
/// use goldcrestvale_config::{upgrade::common_majors, record::Kind, schema::Table};
///
/// let newer = Table::default().with(Kind::Model, 2, Ok).majors();
/// let all = common_majors([newer, Table::default().majors()]);
/// assert_eq!(all.get(&Kind::Model), Some(&1));
/// ```
pub fn common_majors(majors: impl IntoIterator<Item = BTreeMap<Kind, u16>>) -> BTreeMap<Kind, u16> {
    let mut majors = majors.into_iter();
    let Some(mut least) = majors.next() else { return BTreeMap::new() };
    for other in majors {
        least.retain(|kind, major| {
            let read = other.get(kind).copied().unwrap_or(0);
            *major = read.min(*major);
            *major > 0
        });
    }
    least
}
