//! Printing for programs.

use serde::Serialize;

use super::failure::Failure;

/// Prints a value as JSON on standard output.
pub(super) fn print_json(value: &impl Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Failure::Internal(error.to_string()))?;
    println!("{text}");
    Ok(())
}
