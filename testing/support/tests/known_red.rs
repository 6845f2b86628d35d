//! Tests of `.ci/known-red`: CI skips exactly the tests that `KNOWN-RED.txt` lists.

use std::fs;
use std::path::Path;
use std::process::Command;

const LISTING: &str = "first: test\nmodule::second: test\nthird: test\nfourth: test\ntwice: test\ntwice: test\n\n6 tests, 0 benchmarks\n";

/// Runs `.ci/known-red` on a file with these lines; with `None` the file does not exist. Returns the
/// arguments that skip tests, or the error that was printed. Checks that all lines of a valid file are
/// printed.
fn skip_arguments(name: &str, lines: Option<&str>) -> Result<Vec<String>, String> {
    let folder = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("create the folder");
    let (file, listing) = (folder.join("KNOWN-RED.txt"), folder.join("tests.txt"));
    if let Some(lines) = lines {
        fs::write(&file, lines).expect("write the file");
    }
    fs::write(&listing, LISTING).expect("write the listing");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let output = Command::new("bash").arg(script).args([&file, &listing]).output().expect("run the script");
    fs::remove_dir_all(&folder).expect("remove the folder");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    if !output.status.success() {
        return Err(text(output.stderr));
    }
    let printed = text(output.stderr);
    for line in lines.unwrap_or_default().lines() {
        assert!(printed.contains(line), "{line:?} is not printed");
    }
    Ok(text(output.stdout).lines().map(str::to_owned).collect())
}

#[test]
fn exactly_the_listed_tests_are_skipped_and_printed() {
    assert_eq!(skip_arguments("none", None), Ok(vec![]));
    assert_eq!(skip_arguments("empty", Some("")), Ok(vec![]));
    let three = "first, cargo test first seed 4, a fault of its own, issue 28\n\
                 module::second, cargo test second, another, with a comma, issue 7\nthird, x, y, issue 1";
    let names = ["--skip", "first", "--skip", "module::second", "--skip", "third"];
    assert_eq!(skip_arguments("three", Some(three)), Ok(names.map(str::to_owned).to_vec()));
    let four = format!("{three}\nfourth, x, y, issue 1\n");
    let names = [names.as_slice(), &["--skip", "fourth"]].concat();
    assert_eq!(skip_arguments("four", Some(&four)), Ok(names.into_iter().map(str::to_owned).collect()));
}

#[test]
fn malformed_files_and_ambiguous_test_names_are_rejected() {
    for (name, lines, expected) in [
        ("cause", "first, issue 1\n", "line 1"),
        ("one_field", "third, x, y, issue 1\nfirst, x, issue 1\n", "line 2"),
        ("empty_first_field", "first, , y, issue 1\n", "line 1"),
        ("empty_second_field", "first, x, , issue 1\n", "line 1"),
        ("issue", "first, x, y, 1\n", "line 1"),
        ("blank", "first, x, y, issue 1\n\n", "line 2"),
        ("unknown", "no_such, x, y, issue 1\n", "0 tests"),
        ("part", "second, x, y, issue 1\n", "0 tests"),
        ("pattern", "thir., x, y, issue 1\n", "line 1"),
        ("twice", "twice, x, y, issue 1\n", "2 tests"),
    ] {
        let error = skip_arguments(name, Some(lines)).expect_err(name);
        assert!(error.contains(expected), "{name}: {error}");
    }
}
