//! An immutable view of the configuration in force.

use std::sync::Arc;

use goldcrestvale_base::id::{self, Digest, Offset};
use rpds::RedBlackTreeMapSync;

use crate::record::{Binding, Customer, Limit, Model, Placement, Service, Target, Trait};

/// The entities of one kind, in order of their names.
///
/// The map is persistent: a change copies the path to one entity, not the map.
pub type Entities<K, T> = RedBlackTreeMapSync<K, Arc<Entity<T>>>;

/// An entity in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Entity<T> {
    /// Offset of the change that put it in force.
    pub version: Offset,
    /// Its body.
    pub body: T,
}

/// The configuration in force after a prefix of the log.
///
/// Clones share their maps.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// Customers.
    pub customers: Entities<id::Customer, Customer>,
    /// Plain services.
    pub services: Entities<id::Service, Service>,
    /// Models.
    pub models: Entities<id::Model, Model>,
    /// Placements by the upstream that should load them.
    pub placements: Entities<id::Upstream, Placement>,
    /// Traits of engines by pool.
    pub traits: Entities<String, Trait>,
    /// Bindings.
    pub bindings: Entities<String, Binding>,
    /// Limits.
    pub limits: Entities<String, Limit>,
    /// Offset after the last record of the prefix; the version of every entity is below it.
    pub version: Offset,
    pub(crate) credentials: RedBlackTreeMapSync<Digest, id::Customer>,
    pub(crate) binding_names: RedBlackTreeMapSync<(id::Customer, Target), String>,
}

impl Snapshot {
    /// Returns the customer to whom a credential belongs.
    pub fn customer_by_credential(
        &self,
        credential: &Digest,
    ) -> Option<(&id::Customer, &Entity<Customer>)> {
        let name = self.credentials.get(credential)?;
        self.customers.get(name).map(|entity| (name, &**entity))
    }

    /// Returns the binding of a customer to a target; without one, the customer may not call it.
    pub fn binding(&self, customer: &id::Customer, target: &Target) -> Option<&Entity<Binding>> {
        let name = self.binding_names.get(&(customer.clone(), target.clone()))?;
        self.bindings.get(name).map(|entity| &**entity)
    }

    /// Returns whether the prefix includes the record at an offset.
    pub fn covers(&self, offset: Offset) -> bool {
        offset < self.version
    }
}
