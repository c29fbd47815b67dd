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
    },
    /// Prints the names of all entities of a kind.
    List {
        /// Kind of the entities.
        kind: String,
    },
    /// Prints which version is in force.
    Status,
    /// Prints what became of a change.
    Outcome {
        /// Identity of the change, from the answer to it.
        id: String,
    },
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
}

impl Config {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let get = |path: String| client::finish(client::call(&self.at, Method::GET, &path, &[]));
        let exit = match &self.action {
            Action::Put(put) => put.run(&self.at),
            Action::Get { kind, name } => get(format!("/config/{kind}/{name}")),
            Action::List { kind } => get(format!("/config/{kind}")),
            Action::Status => get("/config/status".to_owned()),
            Action::Outcome { id } => get(format!("/config/changes/{id}")),
        };
        exit.into()
    }
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
        change(at, &self.kind, &self.name, base, body, &self.operator)
    }
}

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
    let change = Change {
        schema: Schema::CURRENT,
        kind: Kind::from(kind.to_owned()),
        name: name.to_owned(),
        base,
        body,
        operator: operator.to_owned(),
    };
    let text = serde_json::to_vec(&change).unwrap_or_default();
    client::finish(client::call(at, Method::POST, "/config/changes", &text))
}
