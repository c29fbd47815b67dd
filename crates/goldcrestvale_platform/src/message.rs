//! JSON bodies of the requests to the platform and of its answers.

use std::sync::Once;

use goldcrestvale_base::{
    domain,
    id::{Domain, Incarnation, Offset, RecordId},
    lenient::{self, Entry as LenientEntry},
    time::Wall,
};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Limits the log lines on instances that cannot be read to one.
static UNREADABLE_INSTANCE: Once = Once::new();

/// A record to append.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Identity of the record, by which readers recognise a retried append.
    pub id: RecordId,
    /// Content of the record: JSON that the log does not interpret.
    pub data: Box<RawValue>,
}

/// The body of `POST /streams/{stream}/records`: records to append together, in order.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct Append {
    /// The records.
    pub records: Vec<Entry>,
}

domain! {
    copy
    /// The answer to an append: the records have the offsets `first..next`.
    pub struct Appended {
        /// Offset of the first record.
        pub first: Offset,
        /// Offset after the last record.
        pub next: Offset,
    }
}

/// A record of the log.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(from = "AnyRecord")]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Identity assigned by the writer. A record of another writer, whose identity has another form,
    /// has incarnation 0 and its offset as the sequence number.
    pub id: RecordId,
    /// Time at which the platform accepted the record.
    pub written: Wall,
    /// Content, as JSON.
    pub data: Box<RawValue>,
}

/// A record of any writer.
#[derive(Deserialize)]
struct AnyRecord {
    offset: Offset,
    id: LenientEntry<RecordId>,
    written: Wall,
    data: Box<RawValue>,
}

impl From<AnyRecord> for Record {
    fn from(record: AnyRecord) -> Self {
        let AnyRecord { offset, id: LenientEntry(id), written, data } = record;
        let id = id.unwrap_or_else(|e| {
            log::debug!(offset = offset.0, error:% = e; "record has no valid id");
            RecordId { incarnation: Incarnation(0), sequence: offset.0 }
        });
        Self { offset, id, written, data }
    }
}

/// The answer to `GET /streams/{stream}/records?from=N&max=M&wait_ms=W`.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct Page {
    /// Oldest offset that the stream still retains.
    pub oldest: Offset,
    /// Offset of the next record to be appended to the stream.
    pub end: Offset,
    /// The records from the requested offset on, without gaps.
    pub records: Vec<Record>,
}

domain! {
    value
    /// The role of an instance on the list.
    #[serde(rename_all = "kebab-case")]
    pub enum Role {
        /// An entry instance of this system.
        Entry,
        /// A model engine.
        Engine,
        /// An instance of a plain service.
        Service,
    }

    /// The state of an instance on the list.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// The instance is live.
        Live,
        /// The instance is leaving and accepts no new work.
        Leaving,
    }

    /// An instance on the list.
    pub struct Listed {
        /// Name of the instance.
        pub name: String,
        /// Its role.
        pub role: Role,
        /// The name of its service or of its group of engines.
        pub pool: String,
        /// Its address, `IP:port`.
        pub address: std::net::SocketAddr,
        /// Its failure domain.
        pub domain: Domain,
        /// Its state.
        pub state: State,
    }

    /// The answer to `GET /instances`.
    pub struct Listing {
        /// Time that the list describes, which lags behind the current time.
        pub as_of: Wall,
        /// The instances. Those of another form in the JSON text are left out.
        #[serde(deserialize_with = "listed")]
        pub instances: Vec<Listed>,
    }
}

/// Decodes the instances of a list, each by itself.
fn listed<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Listed>, D::Error> {
    let entries = Vec::<LenientEntry<Listed>>::deserialize(deserializer)?;
    let (instances, errors) = lenient::split(entries);
    if let Some(e) = errors.first() {
        UNREADABLE_INSTANCE.call_once(|| {
            log::warn!(count = errors.len(), error:% = e; "entries of the instance list cannot be read");
        });
    }
    Ok(instances)
}
