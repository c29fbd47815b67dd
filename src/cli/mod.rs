//! The command line.

mod check;
mod client;
mod config;
mod customer;
mod exit;
mod explain;
mod operate;
mod serve;
mod service;

use clap::{Args, Parser, Subcommand};

pub use check::Check;
pub use config::Config;
pub use customer::Customer;
pub use exit::Exit;
pub use explain::Explain;
pub use operate::{Drain, Dump};
pub use serve::Serve;
pub use service::Service;

/// Routes drafts to model engines and calls to plain services.
///
/// Exit codes: 0 done; 1 the instance failed or cannot be reached; 2 the command line or the
/// settings are wrong; 3 a stop cut off requests in progress; 4 a change was rejected or
/// conflicts; 5 it is unknown whether a change was accepted.
#[derive(Debug, Parser)]
#[command(version, about, long_about)]
pub struct Cli {
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs an entry instance until it is stopped.
    Serve(Serve),
    /// Checks a settings file and prints every error in it.
    Check(Check),
    /// Reads or changes the configuration.
    Config(Config),
    /// Creates or deletes a customer.
    Customer(Customer),
    /// Creates or deletes a plain service.
    Service(Service),
    /// Prints the state of an instance as JSON.
    Dump(Dump),
    /// Shows from logs what happened to a request, and why.
    Explain(Explain),
    /// Drains an instance, or stops new work to one upstream.
    Drain(Drain),
}

/// The instance that a command connects to.
#[derive(Debug, Clone, Args)]
pub struct Endpoint {
    /// Address of the operators' interface of the instance.
    #[arg(long, default_value = "127.0.0.1:8081", value_name = "IP:PORT")]
    pub at: std::net::SocketAddr,
    /// Token of the operators' interface.
    #[arg(long, env = "GOLDCRESTVALE_TOKEN", hide_env_values = true)]
    pub token: Option<String>,
}
