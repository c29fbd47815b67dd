//! A stand-in of an entry instance that owns the key of a call and has stored its answer.
#![allow(unreachable_pub)]

use std::{io, sync::Arc};

use goldcrestvale_base::id::{Digest, Incarnation, Instance, Key, Offset, RecordId};
use goldcrestvale_ledger::claim::{Intent, Kind, Record};
use goldcrestvale_member::prelude::{Identity, Notice, Settings as Membership};
use goldcrestvale_peer::{
    events::{AnswerState, Configuration, EventHandler, Reply, ResultQuery, StoredResult},
    handle::Handle,
    peer,
    settings::Settings,
};
use goldcrestvale_standin::{caller::Caller, fleet::Fleet};
use goldcrestvale_wire::key::{Keyring, Secret};
use serde_json::json;
use tokio::net::TcpListener;

const INCARNATION: Incarnation = Incarnation(77);

/// An instance that answers each query with the same result.
pub struct Owner {
    instance: Instance,
    _handle: Handle,
}

#[derive(Clone)]
struct Stored(Arc<StoredResult>);

impl EventHandler for Stored {
    fn notice(&self, _notice: Notice) {}

    fn config_offered(&self, _from: &Instance, _version: Offset, _digest: Digest) {}

    fn config_requested(&self, _from: &Instance, _version: Offset) {}

    fn config_received(&self, _from: &Instance, _configuration: Configuration) {}

    fn result_queried(&self, _query: ResultQuery, reply: Reply) {
        reply.send((*self.0).clone());
    }
}

impl Owner {
    /// Starts an owner whose calls were answered with this status, connected to the peer at an
    /// address.
    pub async fn start(seed: &str, status: u16) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let instance: Instance = "owner-1".parse().map_err(io::Error::other)?;
        let own = Identity {
            instance: instance.clone(),
            incarnation: INCARNATION,
            domain: "local".parse().map_err(io::Error::other)?,
            address: listener.local_addr()?,
        };
        let seed = seed.parse().map_err(io::Error::other)?;
        let membership = Membership::new(own).seeds(vec![seed]);
        let settings = Settings::new(membership, Keyring::new(Secret::new([7; 32])));
        let stored = StoredResult {
            status,
            body: "all of it".into(),
            ..StoredResult::without_answer(AnswerState::Settled)
        };
        let handle = peer::start_on(listener, settings, Stored(Arc::new(stored)));
        Ok(Self { instance, _handle: handle })
    }

    /// Claims the key of a call in the log.
    pub async fn claim(
        &self,
        fleet: &Fleet,
        key: Key,
        service: &str,
        call: &str,
    ) -> io::Result<()> {
        let intent = Intent {
            key,
            customer: "tester".parse().map_err(io::Error::other)?,
            service: service.parse().map_err(io::Error::other)?,
            digest: Digest::of(call.as_bytes()),
            instance: self.instance.clone(),
        };
        let data: serde_json::Value =
            serde_json::from_str(&Record::new(Kind::Claim(intent)).to_json())?;
        let id = RecordId { incarnation: INCARNATION, sequence: 1 };
        let append = json!({ "records": [{ "id": id.to_string(), "data": data }] });
        let at = fleet.platform.address;
        let answer = Caller::default().post(at, "/streams/claims-0/records", &append).await?;
        match answer.status.is_success() {
            true => Ok(()),
            false => Err(io::Error::other(format!("{answer:?}"))),
        }
    }
}
