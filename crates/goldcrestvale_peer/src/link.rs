//! The connections that stand, one for each peer.

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

/// A connection on which both sides have named themselves.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// Number of the connection in this process.
    pub(crate) id: u64,
    /// The peer.
    pub(crate) who: Identity,
    /// This side's role.
    pub(crate) role: Role,
    /// Messages that wait for the peer.
    pub(crate) queue: Arc<Queue>,
    /// Ends the connection at once.
    pub(crate) cancel: CancellationToken,
    /// When it was last needed beyond heartbeats.
    pub(crate) used: Instant,
}

/// What became of a new connection.
#[derive(Debug)]
pub(crate) enum Taken {
    /// It is the only one to the peer.
    Alone,
    /// It took the place of an older one.
    Replaced(Link),
    /// An older one to the same incarnation is kept.
    Refused,
}

/// The connections by peer.
#[derive(Debug, Default)]
pub(crate) struct Links {
    links: IndexMap<Instance, Link>,
}

impl Links {
    /// Takes a new connection.
    ///
    /// When both sides have dialed each other, both keep the connection that the instance with
    /// the lower name opened. Otherwise the newer one is kept, since the older may be dead.
    pub(crate) fn take(&mut self, own: &Instance, link: Link) -> Taken {
        let refused = self.links.get(&link.who.instance).is_some_and(|old| {
            let crossed = old.role != link.role && old.who.incarnation == link.who.incarnation;
            crossed && is_preferred(own, old)
        });
        if refused {
            return Taken::Refused;
        }
        let replaced = self.links.insert(link.who.instance.clone(), link);
        replaced.map_or(Taken::Alone, Taken::Replaced)
    }

    /// Returns the connection to a peer.
    pub(crate) fn get(&self, instance: &Instance) -> Option<&Link> {
        self.links.get(instance)
    }

    /// Returns the connection to an incarnation, and notes that it is needed.
    pub(crate) fn need(&mut self, now: Instant, incarnation: Incarnation) -> Option<&Link> {
        let link = self.links.values_mut().find(|link| link.who.incarnation == incarnation)?;
        link.used = now;
        Some(link)
    }

    /// Removes a connection by its number, if it is still the one in use.
    pub(crate) fn end(&mut self, id: u64) -> Option<Link> {
        let place = self.links.values().position(|link| link.id == id)?;
        self.links.swap_remove_index(place).map(|(_, link)| link)
    }

    /// Returns whether a connection is still the one in use.
    pub(crate) fn holds(&self, id: u64) -> bool {
        self.links.values().any(|link| link.id == id)
    }

    /// Returns the connections.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Link> {
        self.links.values()
    }

    /// Describes the connections.
    pub(crate) fn dump(&self) -> Vec<LinkDump> {
        let dump = |link: &Link| LinkDump {
            instance: link.who.instance.clone(),
            incarnation: link.who.incarnation,
            dialed: link.role == Role::Dialer,
            waiting: link.queue.len(),
        };
        self.iter().map(dump).collect()
    }
}

fn is_preferred(own: &Instance, link: &Link) -> bool {
    match link.role {
        Role::Dialer => own < &link.who.instance,
        Role::Listener => own > &link.who.instance,
    }
}
