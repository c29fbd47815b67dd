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
    At, Exit,
    client::{self, complain},
};

/// Reads or changes the configuration.
#[derive(Debug, Args)]
pub struct Config {
    #[command(flatten)]
    at: At,
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
        after: After,
    },
    /// Prints the names of all entities of a kind.
    List {
        /// Kind of the entities.
        kind: String,
        #[command(flatten)]
        after: After,
    },
    /// Prints which instance has which version in force.
    Status {
        /// Waits until the change of this version is in force at every instance that can be
        /// reached.
        #[arg(long, value_name = "VERSION")]
        wait: Option<u64>,
    },
    /// Prints what became of a change.
    Outcome {
        /// Identity of the change, from the answer to it.
        id: String,
    },
}

#[derive(Debug, Args)]
struct After {
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
    /// Version that the change is based on; without it, the present version is asked for first.
    #[arg(long, value_name = "VERSION")]
    base: Option<u64>,
    /// The entity must not exist.
    #[arg(long, conflicts_with = "base")]
    create: bool,
    /// Name of the operator, kept with the change.
    #[arg(long, default_value = "operator")]
    operator: String,
    /// Waits until the change is in force at every instance that can be reached.
    #[arg(long)]
    wait: bool,
    /// Repeats a change whose answer is not known, by the id in that answer.
    #[arg(long, value_name = "ID", requires = "issued")]
    id: Option<String>,
    /// Time in the answer that named the id.
    #[arg(long, value_name = "MS", requires = "id")]
    issued: Option<u64>,
}

impl Config {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let get = |path: String| client::finish(client::call(&self.at, Method::GET, &path, &[]));
        let exit = match &self.action {
            Action::Put(put) => put.run(&self.at),
            Action::Get { kind, name, after } => {
                after.then(&self.at, || get(format!("/config/{kind}/{name}")))
            }
            Action::List { kind, after } => after.then(&self.at, || get(format!("/config/{kind}"))),
            Action::Status { wait: None } => get("/config/status".to_owned()),
            Action::Status { wait: Some(version) } => wait_in_force(&self.at, *version),
            Action::Outcome { id } => get(format!("/config/changes/{id}")),
        };
        exit.into()
    }
}

impl After {
    fn then(&self, at: &At, read: impl FnOnce() -> Exit) -> Exit {
        let Some(version) = self.wait else { return read() };
        let reached = |body: &Value| body["version"].as_u64().is_some_and(|end| end > version);
        match client::wait(at, "/config/status", reached) {
            Ok((_, true)) => read(),
            Ok((answer, false)) => late(&answer.body, version),
            Err(e) => {
                complain(&e.to_string());
                Exit::Failed
            }
        }
    }
}

/// Waits until a change is in force at every instance that can be reached, and prints who has it.
fn wait_in_force(at: &At, version: u64) -> Exit {
    let path = format!("/config/status?version={version}");
    match client::wait(at, &path, |body| body["in_force"] == true) {
        Ok((answer, true)) => {
            client::print(&answer.body);
            Exit::Done
        }
        Ok((answer, false)) => late(&answer.body, version),
        Err(e) => {
            complain(&e.to_string());
            Exit::Failed
        }
    }
}

fn late(status: &Value, version: u64) -> Exit {
    client::print(status);
    complain(&format!("version {version} was not seen in force in time"));
    Exit::Failed
}

impl Put {
    fn run(&self, at: &At) -> Exit {
        let body = match self.body.as_deref().map(read_body).transpose() {
            Ok(body) => body,
            Err(detail) => {
                complain(&detail);
                return Exit::Usage;
            }
        };
        let base = match (self.create, self.base) {
            (true, _) => None,
            (false, Some(base)) => Some(Offset(base)),
            (false, None) => match present_version(at, &self.kind, &self.name) {
                Ok(version) => version,
                Err(e) => {
                    complain(&e.to_string());
                    return Exit::Failed;
                }
            },
        };
        let path = match (&self.id, self.issued) {
            (Some(id), Some(issued)) => format!("/config/changes/{id}?issued={issued}"),
            _ => CHANGES.to_owned(),
        };
        let change = build(&self.kind, &self.name, base, body, &self.operator);
        let answer = client::call(at, Method::POST, &path, &change);
        let accepted = answer
            .as_ref()
            .ok()
            .and_then(|answer| answer.body["outcome"]["accepted"]["version"].as_u64());
        let exit = client::finish(answer);
        match accepted.filter(|_| self.wait) {
            Some(version) => wait_in_force(at, version),
            None => exit,
        }
    }
}

/// Path that takes new changes.
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

/// Asks for the version of an entity, `None` if it does not exist.
pub(super) fn present_version(at: &At, kind: &str, name: &str) -> client::Result<Option<Offset>> {
    let answer = client::call(at, Method::GET, &format!("/config/{kind}/{name}"), &[])?;
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    Ok(answer.body.get("version").and_then(Value::as_u64).map(Offset))
}

/// Sends a change and prints what became of it.
pub(super) fn change(
    at: &At,
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
