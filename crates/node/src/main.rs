//! The `laurelroute` binary. Without arguments it runs the platform's node, configured by the file that `GW_CONFIG`
//! names.

use std::process::ExitCode;

fn main() -> ExitCode {
    laurelroute_node::cli::main()
}
