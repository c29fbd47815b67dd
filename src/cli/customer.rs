//! `goldcrestvale customer`.

use std::process::ExitCode;

use clap::{Args, Subcommand};
use goldcrestvale_base::id::Digest;
use serde_json::{Map, Value, json};

use super::{
    Endpoint, Exit,
    client::print_error,
    config::{change, current_version},
};

/// Creates or deletes a customer.
#[derive(Debug, Args)]
pub struct Customer {
    #[command(flatten)]
    at: Endpoint,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Creates or replaces a customer.
    Put {
        /// Name of the customer.
        name: String,
        /// The customer's credential; only its digest is stored.
        #[arg(long, env = "GOLDCRESTVALE_CREDENTIAL", hide_env_values = true)]
        credential: String,
        /// Weight in fair sharing.
        #[arg(long, default_value_t = 1)]
        weight: u32,
        /// Requests that may be in flight at once.
        #[arg(long, default_value_t = 100)]
        max_in_flight: u32,
    },
    /// Lets a customer use a model or a service.
    Bind {
        /// Name of the customer.
        name: String,
        /// The model.
        #[arg(long, conflicts_with = "service", required_unless_present = "service")]
        model: Option<String>,
        /// The service.
        #[arg(long)]
        service: Option<String>,
        /// Priority; higher goes first.
        #[arg(long, default_value_t = 0)]
        priority: u8,
    },
    /// Deletes a customer.
    Delete {
        /// Name of the customer.
        name: String,
    },
}

impl Customer {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let at = &self.at;
        let exit = match self.action {
            Action::Put { name, credential, weight, max_in_flight } => {
                let credential = Digest::of(credential.as_bytes());
                let body = json!({
                    "credential": credential,
                    "weight": weight,
                    "max_in_flight": max_in_flight,
                });
                put(at, "customer", &name, Some(body))
            }
            Action::Bind { name, model, service, priority } => {
                let target = match (&model, &service) {
                    (Some(model), _) => json!({ "model": model }),
                    (None, service) => json!({ "service": service }),
                };
                let target_name = model.or(service).unwrap_or_default();
                let body = json!({ "customer": name, "target": target, "priority": priority });
                put(at, "binding", &format!("{name}-{target_name}"), Some(body))
            }
            Action::Delete { name } => put(at, "customer", &name, None),
        };
        exit.into()
    }
}

/// Creates, replaces or deletes an entity based on its current version.
pub(super) fn put(at: &Endpoint, kind: &str, name: &str, body: Option<Value>) -> Exit {
    let base = match current_version(at, kind, name) {
        Ok(base) => base,
        Err(e) => {
            print_error(&e.to_string());
            return Exit::Failed;
        }
    };
    let body: Option<Map<String, Value>> = match body {
        Some(Value::Object(body)) => Some(body),
        _ => None,
    };
    change(at, kind, name, base, body, "operator")
}
