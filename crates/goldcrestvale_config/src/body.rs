//! Typed bodies and their validation.

use std::sync::Arc;

use goldcrestvale_base::id::Offset;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::{
    record::{Binding, Customer, Kind, Limit, Model, Placement, Service, Trait},
    schema::Table,
    snapshot::{Entity, Snapshot},
};

/// The result of parsing a body.
pub(crate) type Result<T> = std::result::Result<T, String>;

/// A typed body.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Body {
    Customer(Customer),
    Service(Service),
    Model(Model),
    Placement(Placement),
    Trait(Trait),
    Binding(Binding),
    Limit(Limit),
}

impl Body {
    /// Parses and validates a body.
    pub(crate) fn try_parse(
        table: &Table,
        kind: &Kind,
        major: u16,
        body: Map<String, Value>,
    ) -> Result<Self> {
        let body = Value::Object(table.try_convert(kind, major, body)?);
        let parsed = match kind {
            Kind::Customer => Self::Customer(parse(body)?),
            Kind::Service => Self::Service(parse(body)?),
            Kind::Model => Self::Model(parse(body)?),
            Kind::Placement => Self::Placement(parse(body)?),
            Kind::Trait => Self::Trait(parse(body)?),
            Kind::Binding => Self::Binding(parse(body)?),
            Kind::Limit => Self::Limit(parse(body)?),
            Kind::Other(name) => return Err(format!("kind {name:?} is not known")),
        };
        parsed.validate()?;
        Ok(parsed)
    }

    fn validate(&self) -> Result<()> {
        let problem = match self {
            Self::Customer(body) if body.weight == 0 => "weight must be at least 1",
            Self::Customer(body) if body.max_in_flight == 0 => "max_in_flight must be at least 1",
            Self::Service(body) if body.timeout_ms == 0 => "timeout_ms must be at least 1",
            Self::Model(body) if body.layers == 0 => "layers must be at least 1",
            Self::Model(body) if body.context_tokens == 0 => "context_tokens must be at least 1",
            Self::Placement(body) if body.layers.is_empty() => "layers must not be empty",
            _ => return Ok(()),
        };
        Err(problem.to_owned())
    }
}

fn parse<T: DeserializeOwned>(body: Value) -> Result<T> {
    serde_json::from_value(body).map_err(|error| error.to_string())
}

impl Snapshot {
    /// Inserts an entity; its name was checked by the fold.
    pub(crate) fn insert(&mut self, name: &str, version: Offset, body: Body) {
        macro_rules! insert {
            ($map:ident, $name:expr, $body:expr) => {
                if let Some(name) = $name {
                    let entity = Arc::new(Entity { version, body: $body });
                    self.$map.insert_mut(name, entity);
                }
            };
        }
        match body {
            Body::Customer(body) => {
                self.remove(&Kind::Customer, name);
                if let Ok(name) = name.parse() {
                    self.credentials.insert_mut(body.credential, name);
                }
                insert!(customers, name.parse().ok(), body);
            }
            Body::Binding(body) => {
                self.remove(&Kind::Binding, name);
                let key = (body.customer.clone(), body.target.clone());
                self.binding_names.insert_mut(key, name.to_owned());
                insert!(bindings, Some(name.to_owned()), body);
            }
            Body::Service(body) => insert!(services, name.parse().ok(), body),
            Body::Model(body) => insert!(models, name.parse().ok(), body),
            Body::Placement(body) => insert!(placements, name.parse().ok(), body),
            Body::Trait(body) => insert!(traits, Some(name.to_owned()), body),
            Body::Limit(body) => insert!(limits, Some(name.to_owned()), body),
        }
    }

    /// Removes an entity.
    pub(crate) fn remove(&mut self, kind: &Kind, name: &str) {
        match kind {
            Kind::Customer => {
                if let Some(entity) = self.customers.get(name) {
                    self.credentials.remove_mut(&entity.body.credential);
                    self.customers.remove_mut(name);
                }
            }
            Kind::Binding => {
                if let Some(entity) = self.bindings.get(name) {
                    let key = (entity.body.customer.clone(), entity.body.target.clone());
                    self.binding_names.remove_mut(&key);
                    self.bindings.remove_mut(name);
                }
            }
            Kind::Service => drop(self.services.remove_mut(name)),
            Kind::Model => drop(self.models.remove_mut(name)),
            Kind::Placement => drop(self.placements.remove_mut(name)),
            Kind::Trait => drop(self.traits.remove_mut(name)),
            Kind::Limit => drop(self.limits.remove_mut(name)),
            Kind::Other(_) => {}
        }
    }
}
