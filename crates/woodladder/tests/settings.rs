//! Checks the settings files of `cases/settings`: files under `good` are
//! accepted, and files under `bad` give exactly the findings of their
//! `.findings` file. A file's name starts with the role that it is for.

use std::path::Path;

use woodladder::settings::{AgentSettings, BalancerSettings, OperatorSettings, SettingsLayers};
use woodladder_core::finding::Findings;

fn check(path: &Path) -> datatest_stable::Result<Result<(), Findings>> {
    let text = std::fs::read_to_string(path)?;
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let mut findings = Findings::new();
    let layers = SettingsLayers::new().toml("settings.toml", &text, &mut findings);
    Ok(match name.split('-').next() {
        Some("balancer") => BalancerSettings::read(&layers, findings).map(drop),
        Some("agent") => AgentSettings::read(&layers, findings).map(drop),
        Some("operator") => OperatorSettings::read(&layers, findings).map(drop),
        _ => return Err("the file's name starts with no role".into()),
    })
}

fn accepted(path: &Path) -> datatest_stable::Result<()> {
    Ok(check(path)??)
}

fn refused(path: &Path) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("findings"))?;
    let Err(findings) = check(path)? else {
        return Err("the settings were accepted".into());
    };
    assert_eq!(findings.to_string().trim(), expected.trim());
    Ok(())
}

datatest_stable::harness! {
    { test = accepted, root = "tests/cases/settings/good", pattern = r"\.toml$" },
    { test = refused, root = "tests/cases/settings/bad", pattern = r"\.toml$" },
}
