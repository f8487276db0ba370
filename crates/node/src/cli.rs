//! The command line.

use crate::config::Config;
use crate::run::{self, StartError};
use crate::site::{Site, SiteError};
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A load balancer. Without arguments it is the platform's node, told by the file that GW_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "laurelroute", version)]
struct Arguments {
    /// The operator's file (see deploy/site.example.toml).
    #[arg(long, value_name = "FILE")]
    site: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks an operator's file; errors name key and line.
    Check {
        /// The file.
        file: PathBuf,
        /// The platform's configuration, for the classes that methods name.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Start(#[from] StartError),
    #[error("{0}")]
    Config(#[from] crate::config::ConfigError),
    #[error("{0}")]
    Site(#[from] SiteError),
}

/// The program, from its arguments to its exit.
pub fn main() -> ExitCode {
    match act(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laurelroute: {error}");
            ExitCode::FAILURE
        }
    }
}

fn act(arguments: Arguments) -> Result<(), Failure> {
    match arguments.command {
        None => Ok(run::start(arguments.site.as_deref())?),
        Some(Command::Check { file, config }) => check(&file, config.as_deref()),
    }
}

fn check(file: &std::path::Path, config: Option<&std::path::Path>) -> Result<(), Failure> {
    let config = config.map(Config::read).transpose()?;
    let classes = config.as_ref().map(|c| (&c.site.classes[..], &c.site.settings));
    let site = Site::load(file, classes)?;
    let methods = site.thrift.as_ref().map_or(0, |t| t.front.table.len());
    let unseen = if config.is_none() { "; class names were not checked, see --config" } else { "" };
    println!("{}: sound, {methods} Thrift methods{unseen}", file.display());
    Ok(())
}
