//! Checks that the list of crates in `docs/architecture.md` agrees with `cargo metadata`, and that a crate
//! depends only on the groups of crates that [`LAYERS`] allows.

use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

/// Groups of crates by folder, each with the groups or crates that it may depend on besides its own. Only
/// tests depend on `testing`.
const LAYERS: [(&str, &[&str]); 5] = [
    ("common", &[]),
    ("control-plane", &["common"]),
    ("data-plane", &["common", "control-plane", "quota-gateway/core"]),
    ("quota-gateway", &["common"]),
    ("testing", &["common", "quota-gateway"]),
];

/// A crate of the workspace.
struct Package {
    /// Path relative to the workspace root.
    folder: String,
    /// Folders of the workspace crates that it depends on, excluding development and build dependencies.
    dependencies: Vec<String>,
}

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn packages() -> BTreeMap<String, Package> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let arguments = ["metadata", "--no-deps", "--locked", "--offline", "--format-version", "1"];
    let output = Command::new(cargo).args(arguments).current_dir(root()).output().expect("run cargo");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let metadata: Value = serde_json::from_slice(&output.stdout).expect("metadata in JSON");
    let workspace = metadata["workspace_root"].as_str().expect("workspace_root is a string");
    let folder_of = |manifest: &str| {
        let folder = Path::new(manifest).strip_prefix(workspace).expect("manifest inside the workspace");
        folder.to_str().expect("folder name in UTF-8").trim_end_matches("/Cargo.toml").to_owned()
    };
    let listed = metadata["packages"].as_array().expect("packages is an array");
    let folders: BTreeMap<&str, String> = listed
        .iter()
        .map(|package| {
            let manifest = package["manifest_path"].as_str().expect("manifest_path is a string");
            (package["name"].as_str().expect("name is a string"), folder_of(manifest))
        })
        .collect();
    let described = listed.iter().map(|package| {
        let mut dependencies: Vec<String> = package["dependencies"]
            .as_array()
            .expect("dependencies is an array")
            .iter()
            .filter(|dependency| dependency["kind"].is_null())
            .filter_map(|dependency| folders.get(dependency["name"].as_str()?).cloned())
            .collect();
        dependencies.sort_unstable();
        let name = package["name"].as_str().expect("name is a string");
        (name.to_owned(), Package { folder: folders[name].clone(), dependencies })
    });
    described.collect()
}

/// Returns one line for each crate: `folder (package): folders of its dependencies`.
fn dependency_list() -> String {
    let mut lines: Vec<String> = packages()
        .iter()
        .map(|(name, package)| {
            let dependencies = match package.dependencies.as_slice() {
                [] => "-".to_owned(),
                folders => folders.join(", "),
            };
            format!("{} ({name}): {dependencies}\n", package.folder)
        })
        .collect();
    lines.sort_unstable();
    lines.concat()
}

fn layer_of(folder: &str) -> &str {
    folder.split('/').next().unwrap_or(folder)
}

#[test]
fn the_architecture_page_lists_the_current_crates_and_dependencies() {
    let page =
        std::fs::read_to_string(root().join("docs/architecture.md")).expect("read docs/architecture.md");
    let expected = dependency_list();
    assert!(
        page.contains(&expected),
        "docs/architecture.md does not contain this list of crates:\n{expected}"
    );
}

#[test]
fn crates_depend_only_on_allowed_layers() {
    for (name, package) in packages() {
        let layer = layer_of(&package.folder);
        let (_, allowed) = LAYERS.iter().find(|(known, _)| *known == layer).expect("layer is in LAYERS");
        for dependency in &package.dependencies {
            let is_allowed = layer_of(dependency) == layer
                || allowed.iter().any(|group| dependency == group || layer_of(dependency) == *group);
            assert!(is_allowed, "{name} in {} depends on {dependency}", package.folder);
        }
    }
}
