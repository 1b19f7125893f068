//! JSON output for programs.

use serde::Serialize;

use super::error::CommandError;

/// Prints a value as JSON on standard output.
pub(super) fn print_json(value: &impl Serialize) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| CommandError::Internal(error.to_string()))?;
    println!("{text}");
    Ok(())
}
