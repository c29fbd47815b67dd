//! A change of configuration, as it stands in the platform log.

use goldcrestvale_base::{domain, id::Offset};
use serde_json::{Map, Value};

use crate::record::Kind;

/// The stream of the platform log that holds changes.
pub const STREAM: &str = "config";

domain! {
    copy
    /// The version of the schema in which a body is written.
    pub struct Schema {
        /// A reader of another major version cannot read the body.
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
        /// Version of the entity on which the change is based; `None` means that it must not exist.
        #[serde(default)]
        pub base: Option<Offset>,
        /// The new body; `None` deletes the entity.
        #[serde(default)]
        pub body: Option<Map<String, Value>>,
        /// Who made the change.
        pub operator: String,
    }
}

domain! {
    value
    /// Puts a higher major version of a kind in force, once every live instance reads it.
    ///
    /// Any instance may append it; the first one in the log counts.
    pub struct SchemaUpgrade {
        /// The kind.
        pub kind: Kind,
        /// The major version.
        pub major: u16,
    }
}

/// What the data of a record in [`STREAM`] may be.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum Data {
    /// A higher major version.
    Raise {
        /// The major version and its kind.
        raise: SchemaUpgrade,
    },
    /// A change of one entity.
    Change(Change),
}
