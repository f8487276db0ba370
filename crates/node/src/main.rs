//! The program `laurelroute`. With no argument it is the platform's node, told by `GW_CONFIG`.

use std::process::ExitCode;

fn main() -> ExitCode {
    laurelroute_node::cli::main()
}
