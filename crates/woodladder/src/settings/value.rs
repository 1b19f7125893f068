//! Parsers of single settings. The error of a parser is the rule that the text
//! breaks.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use woodladder_core::packets::keyed_tag::{TAG_KEY_LENGTH, TagKey};
use woodladder_core::packets::token::{MAXIMUM_KEY_NUMBER, TokenKey};
use woodladder_core::signature::{KEY_LENGTH, PublicKey};

use crate::log::{LogFormat, LogLevel};

const RULE_ADDRESS: &str = "an address is an IP address and a port, such as 10.0.0.1:7000";
const RULE_REACHABLE: &str = "the address is an IP address that other nodes can reach, and a port";
const RULE_PEER_ADDRESS: &str = "a peer's address is an IP address and a port above zero";
const RULE_NAME: &str = "a name has 1 to 64 letters, digits, dots, dashes or underscores";
const RULE_TAG_KEY: &str = "a shared key is 32 hexadecimal digits (16 bytes)";
const RULE_TOKEN_KEY: &str =
    "a token key is its number from 0 to 15, a colon and 32 hexadecimal digits";
const RULE_PUBLIC_KEY: &str = "an operator's public key is 64 hexadecimal digits (32 bytes)";
const RULE_DURATION: &str = "a duration is a number with a unit, such as 250ms or 2s";
const RULE_COUNT: &str = "a count is a whole number above zero, within its range";
const RULE_IDENTIFIER: &str = "an identifier is a whole number from 1 to 4294967295";
const RULE_SERVER_NAME: &str = "a server name is 1 to 253 characters without spaces";
const RULE_URL_PATH: &str = "a path of a URL begins with / and has no spaces";
const RULE_PATH: &str = "a path must not be empty";
const RULE_BOOLEAN: &str = "the value is true or false";
const RULE_LEVEL: &str = "a log level is one of trace, debug, info, warning, error";
const RULE_FORMAT: &str = "a log format is one of terminal, json";

const MAXIMUM_NAME_LENGTH: usize = 64;
const MAXIMUM_SERVER_NAME_LENGTH: usize = 253;

/// Parses an address to listen on; with port zero the system chooses the port.
pub fn parse_listen_address(text: &str) -> Result<SocketAddr, &'static str> {
    text.parse().map_err(|_| RULE_ADDRESS)
}

/// Parses an address to listen on that other nodes use as it stands, so its IP
/// address must not be unspecified, such as 0.0.0.0.
pub fn parse_reachable_listen_address(text: &str) -> Result<SocketAddr, &'static str> {
    let address: SocketAddr = text.parse().map_err(|_| RULE_REACHABLE)?;
    if address.ip().is_unspecified() {
        return Err(RULE_REACHABLE);
    }
    Ok(address)
}

/// Parses the address of another process.
pub fn parse_peer_address(text: &str) -> Result<SocketAddr, &'static str> {
    let address: SocketAddr = text.parse().map_err(|_| RULE_PEER_ADDRESS)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(RULE_PEER_ADDRESS);
    }
    Ok(address)
}

/// Parses the name of a zone, region or operator.
pub fn parse_name(text: &str) -> Result<String, &'static str> {
    let allowed = |symbol: char| symbol.is_ascii_alphanumeric() || ".-_".contains(symbol);
    if text.is_empty() || text.len() > MAXIMUM_NAME_LENGTH || !text.chars().all(allowed) {
        return Err(RULE_NAME);
    }
    Ok(text.to_owned())
}

/// Parses a key that all nodes share.
pub fn parse_tag_key(text: &str) -> Result<TagKey, &'static str> {
    let mut secret = [0; TAG_KEY_LENGTH];
    hex::decode_to_slice(text, &mut secret).map_err(|_| RULE_TAG_KEY)?;
    Ok(TagKey::new(secret))
}

/// Parses a key for routing tokens, with its number.
pub fn parse_token_key(text: &str) -> Result<TokenKey, &'static str> {
    let (number, secret) = text.split_once(':').ok_or(RULE_TOKEN_KEY)?;
    let number: u8 = number.parse().map_err(|_| RULE_TOKEN_KEY)?;
    if number > MAXIMUM_KEY_NUMBER {
        return Err(RULE_TOKEN_KEY);
    }
    let key = parse_tag_key(secret).map_err(|_| RULE_TOKEN_KEY)?;
    Ok(TokenKey { number, key })
}

/// Parses an operator's public key.
pub fn parse_public_key(text: &str) -> Result<PublicKey, &'static str> {
    let mut key = [0; KEY_LENGTH];
    hex::decode_to_slice(text, &mut key).map_err(|_| RULE_PUBLIC_KEY)?;
    Ok(PublicKey(key))
}

/// Parses a duration with its unit.
pub fn parse_duration(text: &str) -> Result<Duration, &'static str> {
    humantime::parse_duration(text).map_err(|_| RULE_DURATION)
}

/// Parses a count above zero.
pub fn parse_count<T: FromStr + Default + PartialEq>(text: &str) -> Result<T, &'static str> {
    match text.parse::<T>() {
        Ok(count) if count != T::default() => Ok(count),
        _ => Err(RULE_COUNT),
    }
}

/// Parses a numeric identifier above zero.
pub fn parse_identifier(text: &str) -> Result<u32, &'static str> {
    match text.parse() {
        Ok(0) | Err(_) => Err(RULE_IDENTIFIER),
        Ok(identifier) => Ok(identifier),
    }
}

/// Parses a server name for a self-signed certificate.
pub fn parse_server_name(text: &str) -> Result<String, &'static str> {
    let has_spaces = text.contains(char::is_whitespace);
    if text.is_empty() || text.len() > MAXIMUM_SERVER_NAME_LENGTH || has_spaces {
        return Err(RULE_SERVER_NAME);
    }
    Ok(text.to_owned())
}

/// Parses the path of a file.
pub fn parse_path(text: &str) -> Result<PathBuf, &'static str> {
    if text.is_empty() {
        return Err(RULE_PATH);
    }
    Ok(PathBuf::from(text))
}

/// Parses the path of a URL.
pub fn parse_url_path(text: &str) -> Result<String, &'static str> {
    let is_graphic = text.chars().all(|symbol| symbol.is_ascii_graphic());
    if text.starts_with('/') && is_graphic {
        Ok(text.to_owned())
    } else {
        Err(RULE_URL_PATH)
    }
}

/// Parses a flag that is on or off.
pub fn parse_boolean(text: &str) -> Result<bool, &'static str> {
    text.parse().map_err(|_| RULE_BOOLEAN)
}

/// Parses a log level.
pub fn parse_log_level(text: &str) -> Result<LogLevel, &'static str> {
    LogLevel::from_name(text).ok_or(RULE_LEVEL)
}

/// Parses a log format.
pub fn parse_log_format(text: &str) -> Result<LogFormat, &'static str> {
    LogFormat::from_name(text).ok_or(RULE_FORMAT)
}
