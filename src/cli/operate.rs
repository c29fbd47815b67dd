//! `goldcrestvale dump` and `goldcrestvale drain`.

use std::{net::SocketAddr, process::ExitCode};

use clap::Args;
use http::Method;

use super::{Endpoint, Exit, client};

/// Prints the state of an instance as JSON.
#[derive(Debug, Args)]
pub struct Dump {
    /// Address of the operators' interface of the instance.
    #[arg(value_name = "IP:PORT")]
    address: SocketAddr,
    /// Token of the operators' interface.
    #[arg(long, env = "GOLDCRESTVALE_TOKEN", hide_env_values = true)]
    token: Option<String>,
}

impl Dump {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let at = Endpoint { at: self.address, token: self.token };
        client::finish(client::call(&at, Method::GET, "/dump", &[])).into()
    }
}

/// Drains an instance, or stops new work to one upstream.
#[derive(Debug, Args)]
pub struct Drain {
    /// Address of the operators' interface of the instance.
    #[arg(value_name = "IP:PORT")]
    address: SocketAddr,
    /// The upstream; without it the instance itself is drained.
    upstream: Option<String>,
    /// Token of the operators' interface.
    #[arg(long, env = "GOLDCRESTVALE_TOKEN", hide_env_values = true)]
    token: Option<String>,
}

impl Drain {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let at = Endpoint { at: self.address, token: self.token };
        let path = match &self.upstream {
            Some(upstream) => client::path(&["drain", upstream]),
            None => "/drain".to_owned(),
        };
        match client::finish(client::call(&at, Method::POST, &path, &[])) {
            // Accepted means that the drain has begun.
            Exit::Unknown => Exit::Done.into(),
            exit => exit.into(),
        }
    }
}
