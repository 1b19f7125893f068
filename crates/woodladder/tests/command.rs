//! Output and exit codes of the command line as an operator uses it.

use std::path::Path;
use std::process::{Command, Output};

const REFUSED: Option<i32> = Some(1);
const USAGE_ERROR: Option<i32> = Some(2);

fn run_woodladder(directory: &Path, arguments: &[&str]) -> std::io::Result<Output> {
    Command::new(env!("CARGO_BIN_EXE_woodladder"))
        .current_dir(directory)
        .args(arguments)
        .output()
}

/// Runs a command that must succeed and returns its standard output.
fn run_successfully(directory: &Path, arguments: &[&str]) -> std::io::Result<String> {
    let output = run_woodladder(directory, arguments)?;
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {errors}");
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn a_bundle_is_created_signed_shown_and_compared() -> std::io::Result<()> {
    let scratch = tempfile::tempdir()?;
    let directory = scratch.path();
    let public = run_successfully(directory, &["key", "new", "--out", "operator.key"])?;
    let public = public.trim();
    run_successfully(directory, &["bundle", "new", "--out", "one.toml"])?;
    let key = ["--key", "operator.key"];
    let sign = [
        "bundle",
        "sign",
        "one.toml",
        key[0],
        key[1],
        "--out",
        "one.signed",
    ];
    run_successfully(directory, &sign)?;
    let check = ["bundle", "check", "one.signed", "--trusted-key", public];
    assert_eq!(run_successfully(directory, &check)?, "no findings\n");
    let shown = run_successfully(directory, &["bundle", "show", "one.signed", "--json"])?;
    let shown: serde_json::Value = serde_json::from_str(&shown)?;
    assert_eq!(shown["signed_by"], public);
    let text = std::fs::read_to_string(directory.join("one.toml"))?;
    let changed = text.replacen("slots = 7", "slots = 6", 1);
    std::fs::write(directory.join("two.toml"), changed)?;
    let difference = run_successfully(directory, &["bundle", "diff", "one.signed", "two.toml"])?;
    assert!(difference.contains("slots 7 -> 6"), "{difference}");
    Ok(())
}

#[test]
fn an_unsigned_or_altered_bundle_is_refused() -> std::io::Result<()> {
    let scratch = tempfile::tempdir()?;
    let directory = scratch.path();
    let public = run_successfully(directory, &["key", "new", "--out", "a.key"])?;
    run_successfully(directory, &["key", "new", "--out", "b.key"])?;
    run_successfully(directory, &["bundle", "new", "--out", "one.toml"])?;
    let sign = [
        "bundle",
        "sign",
        "one.toml",
        "--key",
        "b.key",
        "--out",
        "one.signed",
    ];
    run_successfully(directory, &sign)?;
    let mut bytes = std::fs::read(directory.join("one.signed"))?;
    bytes.truncate(bytes.len() - 1);
    std::fs::write(directory.join("cut.signed"), bytes)?;
    for file in ["one.toml", "one.signed", "cut.signed"] {
        let check = ["bundle", "check", file, "--trusted-key", public.trim()];
        let output = run_woodladder(directory, &check)?;
        assert_eq!(output.status.code(), REFUSED, "{file}");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(errors.starts_with(file), "{errors}");
    }
    Ok(())
}

#[test]
fn all_findings_of_a_bundle_are_printed_at_once() -> std::io::Result<()> {
    let scratch = tempfile::tempdir()?;
    let text = "version = 0\ndeployment = \"a b\"\nsurprise = 1\n";
    std::fs::write(scratch.path().join("bad.toml"), text)?;
    let output = run_woodladder(scratch.path(), &["bundle", "check", "bad.toml", "--json"])?;
    assert_eq!(output.status.code(), REFUSED);
    let findings: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    let list = findings["list"].as_array().map_or(0, Vec::len);
    assert!(list >= 3, "{findings}");
    Ok(())
}

#[test]
fn an_invalid_command_line_has_its_own_exit_code() -> std::io::Result<()> {
    let scratch = tempfile::tempdir()?;
    let output = run_woodladder(scratch.path(), &["bundle", "paint"])?;
    assert_eq!(output.status.code(), USAGE_ERROR);
    Ok(())
}

#[test]
fn an_existing_file_is_not_overwritten() -> std::io::Result<()> {
    let scratch = tempfile::tempdir()?;
    run_successfully(scratch.path(), &["key", "new", "--out", "a.key"])?;
    let again = run_woodladder(scratch.path(), &["key", "new", "--out", "a.key"])?;
    assert_eq!(again.status.code(), REFUSED);
    Ok(())
}
