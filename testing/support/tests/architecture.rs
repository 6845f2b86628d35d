//! The picture of the crates in `docs/architecture.md` is what `cargo metadata` tells, and dependencies between the groups
//! point one way.

use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

/// The groups of crates, by folder, and the groups that each may depend on beside itself. Only tests depend on `testing`.
const LAYERS: [(&str, &[&str]); 5] = [
    ("common", &[]),
    ("control-plane", &["common"]),
    ("data-plane", &["common", "control-plane", "quota-gateway/core"]),
    ("quota-gateway", &["common"]),
    ("testing", &["common", "quota-gateway"]),
];

/// One crate of the workspace.
struct Package {
    /// Relative to the workspace's root.
    folder: String,
    /// Folders of the workspace's crates that it links, without those of its tests alone.
    dependencies: Vec<String>,
}

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn packages() -> BTreeMap<String, Package> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let arguments = ["metadata", "--no-deps", "--locked", "--offline", "--format-version", "1"];
    let output = Command::new(cargo).args(arguments).current_dir(root()).output().expect("cargo runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let metadata: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let workspace = metadata["workspace_root"].as_str().expect("a path");
    let folder_of = |manifest: &str| {
        let folder = Path::new(manifest).strip_prefix(workspace).expect("in the workspace");
        folder.to_str().expect("UTF-8").trim_end_matches("/Cargo.toml").to_owned()
    };
    let listed = metadata["packages"].as_array().expect("packages");
    let folders: BTreeMap<&str, String> = listed
        .iter()
        .map(|package| {
            let manifest = package["manifest_path"].as_str().expect("a path");
            (package["name"].as_str().expect("a name"), folder_of(manifest))
        })
        .collect();
    let described = listed.iter().map(|package| {
        let mut dependencies: Vec<String> = package["dependencies"]
            .as_array()
            .expect("dependencies")
            .iter()
            .filter(|dependency| dependency["kind"].is_null())
            .filter_map(|dependency| folders.get(dependency["name"].as_str()?).cloned())
            .collect();
        dependencies.sort_unstable();
        let name = package["name"].as_str().expect("a name");
        (name.to_owned(), Package { folder: folders[name].clone(), dependencies })
    });
    described.collect()
}

/// One line for each crate: `folder (package): what it depends on`.
fn picture() -> String {
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
fn the_architecture_page_lists_the_crates_as_they_are() {
    let page = std::fs::read_to_string(root().join("docs/architecture.md")).expect("the page");
    let expected = picture();
    assert!(page.contains(&expected), "docs/architecture.md is to hold:\n{expected}");
}

#[test]
fn crates_depend_on_lower_layers_only() {
    for (name, package) in packages() {
        let layer = layer_of(&package.folder);
        let (_, allowed) = LAYERS.iter().find(|(known, _)| *known == layer).expect("a known layer");
        for dependency in &package.dependencies {
            let is_allowed = layer_of(dependency) == layer
                || allowed.iter().any(|group| dependency == group || layer_of(dependency) == *group);
            assert!(is_allowed, "{name} in {} depends on {dependency}", package.folder);
        }
    }
}
