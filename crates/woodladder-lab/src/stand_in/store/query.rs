//! Query parameters and durations of the store's HTTP interface.

use std::time::Duration;

/// The value of a query parameter; an empty one when the parameter stands without a value.
pub(super) fn parameter<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        (key == name).then_some(value)
    })
}

/// Reads a duration such as `500ms`, `10s` or `5m`.
pub(super) fn duration(text: &str) -> Option<Duration> {
    let digits = text.find(|character: char| !character.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    match unit {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.checked_mul(60)?)),
        _ => None,
    }
}
