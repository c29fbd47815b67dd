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
/// conflicts; 5 whether a change was accepted is not known.
#[derive(Debug, Parser)]
#[command(version, about, long_about)]
pub struct Line {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs an entry instance until it is told to stop.
    Serve(Serve),
    /// Checks a settings file and prints every fault in it.
    Check(Check),
    /// Reads or changes the configuration.
    Config(Config),
    /// Creates or deletes a customer.
    Customer(Customer),
    /// Creates or deletes a plain service.
    Service(Service),
    /// Prints the state of an instance as JSON.
    Dump(Dump),
    /// Shows from logs what became of a request, and why.
    Explain(Explain),
    /// Tells an instance to leave, or one upstream to be given no new work.
    Drain(Drain),
}

/// The instance that a command speaks to.
#[derive(Debug, Clone, Args)]
pub struct At {
    /// Address of the instance's operators' interface.
    #[arg(long, default_value = "127.0.0.1:8081", value_name = "IP:PORT")]
    pub at: std::net::SocketAddr,
    /// Token of the operators' interface.
    #[arg(long, env = "GOLDCRESTVALE_TOKEN", hide_env_values = true)]
    pub token: Option<String>,
}
