//! The deploy file has to name every file of the decision module, and the module's lines have a maximum width.

use std::path::Path;

/// Maximum number of characters in a line of the module.
const WIDEST_LINE: usize = 110;

/// The paths that `policy` lists in the deploy file, relative to the repository's root.
fn policy_files(root: &Path) -> Vec<String> {
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|s| s.starts_with("policy")).expect("a line `policy`");
    line.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Lines stay within the formatter's maximum width, including comments, which the formatter does not wrap.
#[test]
fn no_line_is_too_wide() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for file in policy_files(&root) {
        let text = std::fs::read_to_string(root.join(&file)).expect(&file);
        let long: Vec<_> = text.lines().filter(|s| s.chars().count() > WIDEST_LINE).collect();
        assert!(long.is_empty(), "{file}: too long: {long:?}");
    }
}

/// All files of the module except its types and the parsing of settings are named in the deploy file.
#[test]
fn the_deploy_file_names_the_whole_module() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let named = policy_files(&root);
    let no_decisions = ["lib.rs", "interface.rs", "settings.rs"];
    for entry in std::fs::read_dir(root.join("crates/policy/src")).expect("the module's folder") {
        let name = entry.expect("an entry").file_name().into_string().expect("UTF-8");
        let path = format!("crates/policy/src/{name}");
        assert!(no_decisions.contains(&name.as_str()) || named.contains(&path), "{path} is not named");
    }
}
