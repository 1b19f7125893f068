//! Files that hold an operator's secret key.

use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;

use woodladder_core::finding::{Finding, Findings, Place};
use woodladder_core::signature::{KEY_LENGTH, OperatorKey};

use super::error::CommandError;

/// File mode that lets only the owner read and write.
const OWNER_ONLY_MODE: u32 = 0o600;
const RULE_KEY_FILE: &str = "a key file holds 64 hexadecimal digits (32 bytes)";

/// Writes a secret key to a new file. An existing file is not overwritten.
pub(super) fn write_key(path: &Path, secret: &[u8; KEY_LENGTH]) -> Result<(), CommandError> {
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(OWNER_ONLY_MODE)
        .open(path)
        .map_err(|error| CommandError::file(path, error))?;
    writeln!(file, "{}", hex::encode(secret)).map_err(|error| CommandError::file(path, error))
}

/// Reads an operator's secret key.
///
/// # Errors
/// [`CommandError`] when the file cannot be read or holds no key.
pub fn read_key(path: &Path) -> Result<OperatorKey, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| CommandError::file(path, error))?;
    let mut secret = [0; KEY_LENGTH];
    if hex::decode_to_slice(text.trim(), &mut secret).is_ok() {
        return Ok(OperatorKey::from_bytes(secret));
    }
    let mut findings = Findings::new();
    findings.push(Finding {
        place: Place {
            file: Some(path.display().to_string()),
            line: Some(1),
            key: None,
        },
        problem: "is not a key".to_owned(),
        rule: RULE_KEY_FILE,
    });
    Err(CommandError::Findings(findings))
}
