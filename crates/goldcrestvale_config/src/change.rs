//! Configuration changes as records of the platform log.

use goldcrestvale_base::{domain, id::Offset};
use serde_json::{Map, Value};

use crate::record::Kind;

/// The stream of the platform log that holds changes.
pub const STREAM: &str = "config";

domain! {
    copy
    /// The schema version of a body.
    pub struct Schema {
        /// Readers of another major version cannot parse the body.
        pub major: u16,
        /// A higher minor version only adds fields.
        pub minor: u16,
    }
}

impl Schema {
    /// The version that this software writes.
    pub const CURRENT: Self = Self { major: 1, minor: 0 };
}

domain! {
    record
    /// A change of one entity: the data of a record in [`STREAM`].
    pub struct Change {
        /// Schema version of the body.
        pub schema: Schema,
        /// Kind of the entity.
        pub kind: Kind,
        /// Name of the entity.
        pub name: String,
        /// Version of the entity on which the change is based; `None` if it must not exist.
        #[serde(default)]
        pub base: Option<Offset>,
        /// The new body; `None` deletes the entity.
        #[serde(default)]
        pub body: Option<Map<String, Value>>,
        /// The operator who made the change.
        pub operator: String,
    }
}

domain! {
    value
    /// Activates a higher major version of a kind, once every live instance can read it.
    ///
    /// Any instance may append it; the first one in the log takes effect.
    pub struct SchemaUpgrade {
        /// The kind.
        pub kind: Kind,
        /// The major version.
        pub major: u16,
    }
}

/// The data of a record in [`STREAM`].
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum Data {
    /// An upgrade to a higher major version.
    Raise {
        /// The kind and its new major version.
        raise: SchemaUpgrade,
    },
    /// A change of one entity.
    Change(Change),
}
