//! CI passes over the tests of `KNOWN-RED.txt`, and over no others.

use std::fs;
use std::path::Path;
use std::process::Command;

const LISTING: &str = "first: test\nmodule::second: test\nthird: test\nfourth: test\ntwice: test\ntwice: test\n\n6 tests, 0 benchmarks\n";

/// What CI is to skip, or what it says is wrong.
fn skipped(name: &str, lines: Option<&str>) -> Result<Vec<String>, String> {
    let folder = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let (file, listing) = (folder.join("KNOWN-RED.txt"), folder.join("tests.txt"));
    if let Some(lines) = lines {
        fs::write(&file, lines).expect("written");
    }
    fs::write(&listing, LISTING).expect("written");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let output = Command::new("bash").arg(script).args([&file, &listing]).output().expect("it runs");
    fs::remove_dir_all(&folder).expect("removed");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    if !output.status.success() {
        return Err(text(output.stderr));
    }
    let printed = text(output.stderr);
    for line in lines.unwrap_or_default().lines() {
        assert!(printed.contains(line), "{line:?} is printed");
    }
    Ok(text(output.stdout).lines().map(str::to_owned).collect())
}

#[test]
fn exactly_the_named_tests_are_skipped_and_all_are_printed() {
    assert_eq!(skipped("none", None), Ok(vec![]));
    assert_eq!(skipped("empty", Some("")), Ok(vec![]));
    let three = "first, a fault of its own, issue 28\nmodule::second, another, with a comma, issue 7\nthird, x, issue 1";
    let names = ["--skip", "first", "--skip", "module::second", "--skip", "third"];
    assert_eq!(skipped("three", Some(three)), Ok(names.map(str::to_owned).to_vec()));
}

#[test]
fn what_is_not_in_order_fails() {
    for (name, lines, why) in [
        (
            "fourth",
            "first, x, issue 1\nthird, x, issue 1\nmodule::second, x, issue 1\nfourth, x, issue 1\n",
            "three",
        ),
        ("cause", "first, issue 1\n", "line 1"),
        ("issue", "first, x, 1\n", "line 1"),
        ("blank", "first, x, issue 1\n\n", "line 2"),
        ("unknown", "no_such, x, issue 1\n", "0 tests"),
        ("part", "second, x, issue 1\n", "0 tests"),
        ("pattern", "thir., x, issue 1\n", "line 1"),
        ("twice", "twice, x, issue 1\n", "2 tests"),
    ] {
        let said = skipped(name, Some(lines)).expect_err(name);
        assert!(said.contains(why), "{name}: {said}");
    }
}
