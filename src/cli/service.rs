//! `goldcrestvale service`.

use std::process::ExitCode;

use clap::{Args, Subcommand};
use serde_json::{Value, json};

use super::{Endpoint, customer::put};

/// Creates or deletes a plain service.
#[derive(Debug, Args)]
pub struct Service {
    #[command(flatten)]
    at: Endpoint,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Creates or replaces a plain service.
    Put {
        /// Name of the service.
        name: String,
        /// Pool of the instances that serve it.
        #[arg(long)]
        pool: String,
        /// Timeout of one call, in milliseconds.
        #[arg(long, default_value_t = 10_000)]
        timeout_ms: u64,
        /// Calls that may be retried, as METHOD:PATH-PREFIX; all others need a key.
        #[arg(long = "idempotent", value_name = "METHOD:PREFIX", value_parser = parse_method)]
        idempotent: Vec<Method>,
        /// Accepts calls that are not idempotent without a key, also during an outage of the log.
        #[arg(long)]
        run_without_log: bool,
    },
    /// Deletes a plain service.
    Delete {
        /// Name of the service.
        name: String,
    },
}

#[derive(Debug, Clone)]
struct Method {
    method: String,
    path: String,
}

fn parse_method(text: &str) -> Result<Method, String> {
    let (method, path) = text.split_once(':').ok_or("expected METHOD:PATH-PREFIX")?;
    if !path.starts_with('/') {
        return Err(format!("path prefix {path:?} does not begin with '/'"));
    }
    Ok(Method { method: method.to_ascii_uppercase(), path: path.to_owned() })
}

impl Service {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let exit = match self.action {
            Action::Put { name, pool, timeout_ms, idempotent, run_without_log } => {
                let method =
                    |m: Method| json!({ "method": m.method, "path": m.path, "idempotent": true });
                let methods: Vec<Value> = idempotent.into_iter().map(method).collect();
                let body = json!({
                    "pool": pool,
                    "timeout_ms": timeout_ms,
                    "methods": methods,
                    "run_without_log": run_without_log,
                });
                put(&self.at, "service", &name, Some(body))
            }
            Action::Delete { name } => put(&self.at, "service", &name, None),
        };
        exit.into()
    }
}
