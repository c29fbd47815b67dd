//! The daemon's interface to the peer tasks.

use std::sync::Arc;

use arc_swap::ArcSwap;
use goldcrestvale_base::{
    id::{Digest, Incarnation, Instance, Key, Offset},
    time::Instant,
};
use goldcrestvale_member::event::Event;
use snafu::{OptionExt, Snafu};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    connection::Shared,
    core::{Command, Input},
    count::Values,
    dump::Dump,
    events::{Changes, Configuration, Held, List, StoredResult},
    query::{self, Query},
    snapshot::Snapshot,
};

/// The result of a call to the peer tasks.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why the peer tasks did not accept a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The tasks have stopped.
    #[snafu(display("the peer tasks have stopped"))]
    Stopped,
    /// The channel to the tasks is full.
    #[snafu(display("the event channel of the peer tasks is full"))]
    Full,
}

/// A handle to the peer tasks, cheap to clone.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(crate) shared: Arc<Shared>,
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
}

impl Handle {
    /// Sends an event to the membership.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn send_event(&self, event: Event) -> Result<()> {
        self.command(Command::Event(event)).await
    }

    /// Sends an event and waits until the snapshot reflects it.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn apply(&self, event: Event) -> Result<()> {
        let (done, applied) = oneshot::channel();
        self.command(Command::Apply(event, done)).await?;
        applied.await.ok().context(StoppedSnafu)
    }

    /// Sends an event without waiting, for use on the request path.
    ///
    /// # Errors
    ///
    /// Fails if the channel is full or the tasks have stopped.
    pub fn try_send_event(&self, event: Event) -> Result<()> {
        let input = Input::Command(Command::Event(event));
        self.shared.inputs.try_send(input).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => {
                self.shared.counts.refused_events.inc();
                Error::Full
            }
            mpsc::error::TrySendError::Closed(_) => Error::Stopped,
        })
    }

    /// Returns the state that the request path reads.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns the counters.
    pub fn counts(&self) -> Values {
        self.shared.counts.values()
    }

    /// Returns the current time of the membership's clock.
    pub fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// Queries the owner of an idempotency key for the result of its call.
    ///
    /// Connects to the owner if there is no connection yet.
    ///
    /// # Errors
    ///
    /// Fails if the owner cannot be reached or does not answer; the call may have run.
    pub async fn query_result(
        &self,
        owner: Incarnation,
        key: Key,
        digest: Digest,
    ) -> query::Result<StoredResult> {
        let (reply, result) = oneshot::channel();
        let query = Query { owner, key, digest, reply };
        let waiting = async {
            self.command(Command::Query(query)).await.map_err(|_| query::Error::Stopped)?;
            result.await.unwrap_or(Err(query::Error::Stopped))
        };
        // The membership's task ends the query first, unless it is overloaded.
        let limit = self.shared.settings.query_timeout * 2;
        timeout(limit, waiting).await.unwrap_or(Err(query::Error::Timeout))
    }

    /// Offers a configuration to every connected peer.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn offer_config(&self, version: Offset, digest: Digest) -> Result<()> {
        self.command(Command::OfferConfig { version, digest }).await
    }

    /// Requests a configuration of at least the given version from a peer.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn request_config(&self, to: Instance, version: Offset) -> Result<()> {
        self.command(Command::RequestConfig { to, version, held: None }).await
    }

    /// Requests the changes up to a version of at least the given one since the version that this
    /// instance holds.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn request_changes(&self, to: Instance, version: Offset, held: Held) -> Result<()> {
        self.command(Command::RequestConfig { to, version, held: Some(held) }).await
    }

    /// Requests the platform's list from the connected peer that places layers, or from a few
    /// random ones.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn request_list(&self) -> Result<()> {
        self.command(Command::RequestList).await
    }

    /// Sends changes of the platform's directory to the connected peers of the own failure domain.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn send_changes(&self, changes: Changes) -> Result<()> {
        self.command(Command::SendChanges(changes)).await
    }

    /// Sends the platform's list to a peer, in the platform's format.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn send_list(&self, to: Instance, list: List) -> Result<()> {
        self.command(Command::SendList { to, list }).await
    }

    /// Sends a configuration to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn send_config(&self, to: Instance, configuration: Configuration) -> Result<()> {
        self.command(Command::SendConfig { to, configuration }).await
    }

    /// Returns a dump of the state of the tasks.
    ///
    /// # Errors
    ///
    /// Fails if the tasks have stopped.
    pub async fn dump(&self) -> Result<Dump> {
        let (reply, dump) = oneshot::channel();
        self.command(Command::Dump(reply)).await?;
        dump.await.ok().context(StoppedSnafu)
    }

    /// Sends a goodbye to the peers, drains the queues and ends the tasks.
    pub async fn stop(&self) {
        let (reply, stopped) = oneshot::channel();
        if self.command(Command::Stop(reply)).await.is_ok() {
            let _ = stopped.await;
        }
        self.shared.tasks.close();
        let drained = timeout(self.shared.settings.goodbye_timeout, self.shared.tasks.wait()).await;
        self.shared.stop.cancel();
        if drained.is_err() {
            log::warn!("some peers did not receive the goodbye in time");
        }
    }

    async fn command(&self, command: Command) -> Result<()> {
        let sent = self.shared.inputs.send(Input::Command(command)).await;
        sent.ok().context(StoppedSnafu)
    }
}
