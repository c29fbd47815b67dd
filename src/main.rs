//! The `goldcrestvale` program.

use std::process::ExitCode;

use clap::Parser;
use goldcrestvale::cli::{Cli, Command};

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve(command) => command.run(),
        Command::Check(command) => command.run(),
        Command::Config(command) => command.run(),
        Command::Customer(command) => command.run(),
        Command::Service(command) => command.run(),
        Command::Dump(command) => command.run(),
        Command::Drain(command) => command.run(),
        Command::Explain(command) => command.run(),
    }
}
