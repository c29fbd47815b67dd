//! The established connections, one per peer.

use std::sync::Arc;

use goldcrestvale_base::{
    id::{Incarnation, Instance},
    time::Instant,
};
use goldcrestvale_member::identity::Identity;
use goldcrestvale_wire::handshake::Role;
use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use crate::{dump::LinkDump, queue::Queue};

/// A connection on which both sides have identified themselves.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// Id of the connection, unique in this process.
    pub(crate) id: u64,
    /// The peer.
    pub(crate) peer: Identity,
    /// This side's role.
    pub(crate) role: Role,
    /// Messages queued for the peer.
    pub(crate) queue: Arc<Queue>,
    /// Closes the connection at once.
    pub(crate) cancel: CancellationToken,
    /// When it was last used for a query.
    pub(crate) last_used: Instant,
}

/// The result of adding a new connection.
#[derive(Debug)]
pub(crate) enum InsertResult {
    /// The connection is the only one to the peer.
    Added,
    /// The connection replaced an older one.
    Replaced(Link),
    /// The connection was rejected; an older one to the same incarnation is kept.
    Rejected,
}

/// The connections by peer.
#[derive(Debug, Default)]
pub(crate) struct Links {
    links: IndexMap<Instance, Link>,
}

impl Links {
    /// Adds a new connection.
    ///
    /// When two peers have dialed each other at the same time, both keep the connection that the
    /// instance with the lower name opened. Otherwise the newer one is kept, since the older may
    /// be dead.
    pub(crate) fn insert(&mut self, own: &Instance, link: Link) -> InsertResult {
        let rejected = self.links.get(&link.peer.instance).is_some_and(|old| {
            let crossed = old.role != link.role && old.peer.incarnation == link.peer.incarnation;
            crossed && is_preferred(own, old)
        });
        if rejected {
            return InsertResult::Rejected;
        }
        let replaced = self.links.insert(link.peer.instance.clone(), link);
        replaced.map_or(InsertResult::Added, InsertResult::Replaced)
    }

    /// Returns the connection to a peer.
    pub(crate) fn get(&self, instance: &Instance) -> Option<&Link> {
        self.links.get(instance)
    }

    /// Returns the connection to an incarnation and updates the time of its last use.
    pub(crate) fn touch(&mut self, now: Instant, incarnation: Incarnation) -> Option<&Link> {
        let link = self.links.values_mut().find(|link| link.peer.incarnation == incarnation)?;
        link.last_used = now;
        Some(link)
    }

    /// Removes a connection by its id, if it is still the one in use.
    pub(crate) fn remove(&mut self, id: u64) -> Option<Link> {
        let index = self.links.values().position(|link| link.id == id)?;
        self.links.swap_remove_index(index).map(|(_, link)| link)
    }

    /// Returns whether a connection is still the one in use.
    pub(crate) fn contains(&self, id: u64) -> bool {
        self.links.values().any(|link| link.id == id)
    }

    /// Iterates over the connections.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Link> {
        self.links.values()
    }

    /// Returns a dump of the connections.
    pub(crate) fn dump(&self) -> Vec<LinkDump> {
        let dump = |link: &Link| LinkDump {
            instance: link.peer.instance.clone(),
            incarnation: link.peer.incarnation,
            dialed: link.role == Role::Dialer,
            waiting: link.queue.len(),
        };
        self.iter().map(dump).collect()
    }
}

fn is_preferred(own: &Instance, link: &Link) -> bool {
    match link.role {
        Role::Dialer => own < &link.peer.instance,
        Role::Listener => own > &link.peer.instance,
    }
}
