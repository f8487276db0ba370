//! The program `laurelroute`. With no argument it is the platform's node, told by `GW_CONFIG`.

use std::process::ExitCode;

fn main() -> ExitCode {
    match laurelroute_node::run::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laurelroute: {error}");
            ExitCode::FAILURE
        }
    }
}
