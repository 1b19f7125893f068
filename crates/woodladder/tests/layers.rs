//! Layers of settings: which layer takes precedence, and where findings are
//! located.

use woodladder::log::LogLevel;
use woodladder::settings::{
    LogFlags, OperatorFlags, OperatorSettings, PlatformFlags, SettingsLayers,
};
use woodladder_core::finding::Findings;

const FILE: &str = r#"
stores = ["127.0.0.1:8500"]
operator = "ankang"
log_level = "debug"
trusted_keys = ["d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a"]
cluster_key = "000102030405060708090a0b0c0d0e0f"
"#;

fn flags(log_level: &str) -> OperatorFlags {
    OperatorFlags {
        platform: PlatformFlags {
            stores: vec!["127.0.0.1:8501".to_owned()],
            ..PlatformFlags::default()
        },
        log: LogFlags {
            log_level: Some(log_level.to_owned()),
            ..LogFlags::default()
        },
        ..OperatorFlags::default()
    }
}

#[test]
fn flags_override_the_file_and_keep_its_other_settings() -> Result<(), Findings> {
    let mut findings = Findings::new();
    let layers = SettingsLayers::new()
        .toml("operator.toml", FILE, &mut findings)
        .flags(&flags("error"), &mut findings);
    let settings = OperatorSettings::read(&layers, findings)?;
    assert_eq!(settings.log.level, LogLevel::Error);
    assert_eq!(settings.operator, "ankang");
    assert_eq!(settings.platform.stores.len(), 1);
    assert_eq!(settings.platform.stores[0].port(), 8501);
    Ok(())
}

#[test]
fn a_finding_names_the_layer_that_it_comes_from() {
    let mut findings = Findings::new();
    let layers = SettingsLayers::new()
        .toml(
            "operator.toml",
            &FILE.replace("operator =", "poll ="),
            &mut findings,
        )
        .flags(&flags("loud"), &mut findings);
    let text = match OperatorSettings::read(&layers, findings) {
        Ok(_) => String::new(),
        Err(findings) => findings.to_string(),
    };
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(
        lines[1].starts_with("operator.toml: line 3: poll: "),
        "{text}"
    );
    assert!(lines[0].starts_with("flags: log_level: "), "{text}");
}
