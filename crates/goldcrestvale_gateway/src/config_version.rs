//! The versions of the configuration that this instance holds.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use goldcrestvale_base::id::{Digest, Offset};
use goldcrestvale_peer::events::{Configuration as Sealed, Held};
use goldcrestvale_route::forward::{ChangeSet, Configuration};
use indexmap::IndexMap;
use log::warn;

use crate::config_document::{Content, Document, Result};

/// Number of versions kept, so that peers which hold one of them receive only what changed.
const MAX_VERSIONS: usize = 16;

/// The versions that were in force last, and the forms in which the current one is sent.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    /// The current version is the last one.
    held: VecDeque<(Held, Arc<Configuration>)>,
    /// The documents that were sent, by the version of the receiver.
    documents: IndexMap<Option<Held>, Sealed>,
    /// The current version as builds receive it that know no documents.
    plain: Option<Sealed>,
}

impl Versions {
    /// Returns the current version.
    pub(crate) fn current(&self) -> Option<&Arc<Configuration>> {
        self.held.back().map(|(_, configuration)| configuration)
    }

    /// Returns version and digest of the current version.
    pub(crate) fn held(&self) -> Held {
        let none = Held { version: Offset(0), digest: Digest::of(&[]) };
        self.held.back().map_or(none, |(held, _)| *held)
    }

    /// Adds a version that was read from the directory, if it is newer than the current one.
    pub(crate) fn insert_read(&mut self, read: Configuration) -> Option<Arc<Configuration>> {
        if read.version <= self.held().version.0 {
            return None;
        }
        let digest = match serde_json::to_vec(&read) {
            Ok(text) => Digest::of(&text),
            Err(e) => {
                warn!(version = read.version, error:% = e; "configuration cannot be serialized");
                return None;
            }
        };
        // Shares the routes that did not change.
        let shared =
            self.current().and_then(|base| ChangeSet::between(base, &read).apply(base).ok());
        Some(self.insert(digest, shared.unwrap_or(read)))
    }

    /// Adds the version of a peer's document, if it is newer than the current one.
    ///
    /// # Errors
    ///
    /// Fails if the document holds the changes of another version than the current one.
    pub(crate) fn insert_received(
        &mut self,
        document: Document,
    ) -> std::result::Result<Option<Arc<Configuration>>, goldcrestvale_route::forward::Error> {
        let current = self.held().version.0;
        let configuration = match (document.content, self.current()) {
            (Content::Complete(configuration), _) => configuration,
            (Content::Changes(changes), _) if changes.version <= current => return Ok(None),
            (Content::Changes(changes), Some(base)) => changes.apply(base)?,
            (Content::Changes(_), None) => return Ok(None),
        };
        let is_newer = configuration.version > current;
        Ok(is_newer.then(|| self.insert(document.digest, configuration)))
    }

    fn insert(&mut self, digest: Digest, configuration: Configuration) -> Arc<Configuration> {
        let configuration = Arc::new(configuration);
        let held = Held { version: Offset(configuration.version), digest };
        self.held.push_back((held, configuration.clone()));
        if self.held.len() > MAX_VERSIONS {
            self.held.pop_front();
        }
        self.documents.clear();
        self.plain = None;
        configuration
    }

    /// Returns the current version for a peer that holds another one: what changed since, if this
    /// instance still knows that version.
    pub(crate) fn seal_for(&mut self, receiver: Held) -> Result<Option<Sealed>> {
        let Some((current, configuration)) = self.held.back() else { return Ok(None) };
        if receiver.version >= current.version {
            return Ok(None);
        }
        let base = self.held.iter().find(|(held, _)| *held == receiver);
        let key = base.map(|(held, _)| *held);
        if let Some(sealed) = self.documents.get(&key) {
            return Ok(Some(sealed.clone()));
        }
        let content = match base {
            Some((_, base)) => Content::Changes(ChangeSet::between(base, configuration)),
            None => Content::Complete(Configuration::clone(configuration)),
        };
        let bytes = Document { digest: current.digest, content }.encode()?;
        let sealed = Sealed { version: current.version, digest: Digest::of(&bytes), bytes };
        self.documents.insert(key, sealed.clone());
        Ok(Some(sealed))
    }

    /// Returns the current version whole and plain.
    pub(crate) fn seal_plain(&mut self) -> Result<Option<Sealed>> {
        let Some((held, configuration)) = self.held.back() else { return Ok(None) };
        if self.plain.is_none() {
            let bytes = Bytes::from(serde_json::to_vec(&**configuration)?);
            let digest = Digest::of(&bytes);
            self.plain = Some(Sealed { version: held.version, digest, bytes });
        }
        Ok(self.plain.clone())
    }
}
