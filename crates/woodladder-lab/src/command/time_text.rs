//! Durations on the command line.

use std::time::Duration;

/// Reads a duration such as `500us`, `20ms` or `2s`.
pub fn parse(text: &str) -> Result<Duration, String> {
    let expected = || format!("`{text}` is not a duration such as 500us, 20ms or 2s");
    let unit_start = text
        .find(|character: char| !character.is_ascii_digit())
        .ok_or_else(expected)?;
    let (number, unit) = text.split_at(unit_start);
    let number: u64 = number.parse().map_err(|_| expected())?;
    match unit {
        "us" => Ok(Duration::from_micros(number)),
        "ms" => Ok(Duration::from_millis(number)),
        "s" => Ok(Duration::from_secs(number)),
        _ => Err(expected()),
    }
}
