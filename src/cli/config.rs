//! `goldcrestvale config`.

use std::{
    io::Read,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Args, Subcommand};
use goldcrestvale_base::id::Offset;
use goldcrestvale_config::{
    change::{Change, Schema},
    record::Kind,
};
use http::{Method, StatusCode};
use serde_json::{Map, Value};

use super::{
    Endpoint, Exit,
    client::{self, print_error},
};

/// Reads or changes the configuration.
#[derive(Debug, Args)]
pub struct Config {
    #[command(flatten)]
    at: Endpoint,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Creates, replaces or deletes an entity.
    Put(Put),
    /// Prints an entity and its version.
    Get {
        /// Kind, such as customer, service, model, placement, trait, binding or limit.
        kind: String,
        /// Name of the entity.
        name: String,
        #[command(flatten)]
        wait: WaitArgs,
    },
    /// Prints the names of all entities of a kind.
    List {
        /// Kind of the entities.
        kind: String,
        #[command(flatten)]
        wait: WaitArgs,
    },
    /// Prints which version is in force at each instance.
    Status {
        /// Waits until the change of this version is in force at every reachable instance.
        #[arg(long, value_name = "VERSION")]
        wait: Option<u64>,
    },
    /// Prints the outcome of a change.
    Outcome {
        /// Id of the change, from the response to it.
        id: String,
    },
}

#[derive(Debug, Args)]
struct WaitArgs {
    /// Waits until the change of this version is in force at the instance.
    #[arg(long, value_name = "VERSION")]
    wait: Option<u64>,
}

#[derive(Debug, Args)]
struct Put {
    /// Kind of the entity.
    kind: String,
    /// Name of the entity.
    name: String,
    /// File with the body as JSON; `-` reads standard input; without it the entity is deleted.
    #[arg(value_name = "FILE")]
    body: Option<PathBuf>,
    /// Version that the change is based on; by default the current version is fetched first.
    #[arg(long, value_name = "VERSION")]
    base: Option<u64>,
    /// The entity must not exist.
    #[arg(long, conflicts_with = "base")]
    create: bool,
    /// Name of the operator, stored with the change.
    #[arg(long, default_value = "operator")]
    operator: String,
    /// Waits until the change is in force at every reachable instance.
    #[arg(long)]
    wait: bool,
    /// Retries a change whose outcome is unknown, by the id in the earlier response.
    #[arg(long, value_name = "ID", requires = "issued")]
    id: Option<String>,
    /// Time in the response that held the id.
    #[arg(long, value_name = "MS", requires = "id")]
    issued: Option<u64>,
}

impl Config {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let get = |path: String| client::finish(client::call(&self.at, Method::GET, &path, &[]));
        let exit = match &self.action {
            Action::Put(put) => put.run(&self.at),
            Action::Get { kind, name, wait } => {
                wait.then(&self.at, || get(client::path(&["config", kind, name])))
            }
            Action::List { kind, wait } => {
                wait.then(&self.at, || get(client::path(&["config", kind])))
            }
            Action::Status { wait: None } => get("/config/status".to_owned()),
            Action::Status { wait: Some(version) } => wait_in_force(&self.at, *version),
            Action::Outcome { id } => get(client::path(&["config", "changes", id])),
        };
        exit.into()
    }
}

impl WaitArgs {
    fn then(&self, at: &Endpoint, read: impl FnOnce() -> Exit) -> Exit {
        let Some(version) = self.wait else { return read() };
        let reached = |body: &Value| body["version"].as_u64().is_some_and(|end| end > version);
        match client::poll(at, "/config/status", reached) {
            Ok((_, true)) => read(),
            Ok((response, false)) => not_in_force(&response.body, version),
            Err(e) => {
                print_error(&e.to_string());
                Exit::Failed
            }
        }
    }
}

/// Waits until a change is in force at every reachable instance, and prints the status.
fn wait_in_force(at: &Endpoint, version: u64) -> Exit {
    let path = format!("/config/status?version={version}");
    match client::poll(at, &path, |body| body["in_force"] == true) {
        Ok((response, true)) => {
            client::print(&response.body);
            Exit::Done
        }
        Ok((response, false)) => not_in_force(&response.body, version),
        Err(e) => {
            print_error(&e.to_string());
            Exit::Failed
        }
    }
}

fn not_in_force(status: &Value, version: u64) -> Exit {
    client::print(status);
    print_error(&format!("version {version} did not come into force in time"));
    Exit::Failed
}

impl Put {
    fn run(&self, at: &Endpoint) -> Exit {
        let body = match self.body.as_deref().map(read_body).transpose() {
            Ok(body) => body,
            Err(detail) => {
                print_error(&detail);
                return Exit::Usage;
            }
        };
        let base = match (self.create, self.base) {
            (true, _) => None,
            (false, Some(base)) => Some(Offset(base)),
            (false, None) => match current_version(at, &self.kind, &self.name) {
                Ok(version) => version,
                Err(e) => {
                    print_error(&e.to_string());
                    return Exit::Failed;
                }
            },
        };
        let path = match (&self.id, self.issued) {
            (Some(id), Some(issued)) => {
                format!("{}?issued={issued}", client::path(&["config", "changes", id]))
            }
            _ => CHANGES.to_owned(),
        };
        let change = build(&self.kind, &self.name, base, body, &self.operator);
        let response = client::call(at, Method::POST, &path, &change);
        let accepted = response
            .as_ref()
            .ok()
            .and_then(|response| response.body["outcome"]["accepted"]["version"].as_u64());
        let exit = client::finish(response);
        match accepted.filter(|_| self.wait) {
            Some(version) => wait_in_force(at, version),
            None => exit,
        }
    }
}

/// Path that accepts new changes.
const CHANGES: &str = "/config/changes";

fn read_body(path: &Path) -> Result<Map<String, Value>, String> {
    let mut text = String::new();
    let read = if path == Path::new("-") {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        std::fs::read_to_string(path).map(|read| text = read)
    };
    read.map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("{} is not a JSON object: {e}", path.display()))
}

/// Fetches the version of an entity, `None` if it does not exist.
pub(super) fn current_version(
    at: &Endpoint,
    kind: &str,
    name: &str,
) -> client::Result<Option<Offset>> {
    let response = client::call(at, Method::GET, &client::path(&["config", kind, name]), &[])?;
    if response.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    Ok(response.body.get("version").and_then(Value::as_u64).map(Offset))
}

/// Sends a change and prints its outcome.
pub(super) fn change(
    at: &Endpoint,
    kind: &str,
    name: &str,
    base: Option<Offset>,
    body: Option<Map<String, Value>>,
    operator: &str,
) -> Exit {
    let change = build(kind, name, base, body, operator);
    client::finish(client::call(at, Method::POST, CHANGES, &change))
}

fn build(
    kind: &str,
    name: &str,
    base: Option<Offset>,
    body: Option<Map<String, Value>>,
    operator: &str,
) -> Vec<u8> {
    let change = Change {
        schema: Schema::CURRENT,
        kind: Kind::from(kind.to_owned()),
        name: name.to_owned(),
        base,
        body,
        operator: operator.to_owned(),
    };
    serde_json::to_vec(&change).expect("a change has only text as map keys")
}
