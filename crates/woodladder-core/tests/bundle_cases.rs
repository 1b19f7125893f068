//! Bundles in TOML: valid ones stay the same when they are rendered and parsed
//! again, and invalid ones give exactly the findings in their `.findings` file.

use std::path::Path;

use woodladder_core::configuration::bundle_source;

fn accepted(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let bundle = bundle_source::parse("bundle.toml", &text)?;
    let rendered = bundle_source::render(&bundle)?;
    let again = bundle_source::parse("rendered.toml", &rendered)?;
    assert_eq!(bundle, again);
    assert_eq!(bundle.digest(), again.digest());
    Ok(())
}

fn refused(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = std::fs::read_to_string(path.with_extension("findings"))?;
    let Err(findings) = bundle_source::parse("bundle.toml", &text) else {
        return Err("the bundle was accepted".into());
    };
    assert_eq!(findings.to_string().trim(), expected.trim());
    Ok(())
}

datatest_stable::harness! {
    { test = accepted, root = "tests/cases/bundle/good", pattern = r"\.toml$" },
    { test = refused, root = "tests/cases/bundle/bad", pattern = r"\.toml$" },
}
