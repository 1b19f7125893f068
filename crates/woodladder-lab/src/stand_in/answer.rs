//! Body of a back end's answer, which shows by itself whether it is whole and whose it is.
//!
//! One line of fields, then a payload whose length and checksum the line states.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::operation::OperationId;

const MAGIC: &str = "woodladder-answer";
const FIELDS: usize = 5;

/// What is wrong with an answer's body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerDefect {
    /// The first line is not that of an answer.
    Malformed,
    /// The answer belongs to another operation.
    Crossed {
        /// The operation it belongs to.
        found: OperationId,
    },
    /// The answer comes from another service's back end.
    WrongService {
        /// The service it comes from.
        found: String,
    },
    /// The payload is shorter or longer than sent.
    WrongLength {
        /// Bytes sent.
        expected: usize,
        /// Bytes received.
        received: usize,
    },
    /// The payload is not what was sent.
    Corrupted,
}

/// Writes the body which answers `operation`, with a payload of `length` bytes.
#[must_use]
pub fn encode(operation: OperationId, service: &str, length: usize) -> Bytes {
    let payload = payload(operation, length);
    let checksum = xxh3_64(&payload);
    let mut body = format!("{MAGIC} {operation} {service} {length} {checksum:016x}\n").into_bytes();
    body.extend_from_slice(&payload);
    Bytes::from(body)
}

fn payload(operation: OperationId, length: usize) -> Vec<u8> {
    let pattern = xxh3_64(&operation.0.to_be_bytes()).to_be_bytes();
    pattern.iter().copied().cycle().take(length).collect()
}

/// Checks that the body answers `operation`, comes from `service` and is whole.
///
/// # Errors
/// The first defect found.
pub fn verify(body: &[u8], operation: OperationId, service: &str) -> Result<(), AnswerDefect> {
    let line_end = body
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(AnswerDefect::Malformed)?;
    let line = Line::parse(&body[..line_end]).ok_or(AnswerDefect::Malformed)?;
    if line.operation != operation {
        return Err(AnswerDefect::Crossed {
            found: line.operation,
        });
    }
    if line.service != service {
        return Err(AnswerDefect::WrongService {
            found: line.service.to_owned(),
        });
    }
    let payload = &body[line_end + 1..];
    if payload.len() != line.length {
        return Err(AnswerDefect::WrongLength {
            expected: line.length,
            received: payload.len(),
        });
    }
    if xxh3_64(payload) != line.checksum {
        return Err(AnswerDefect::Corrupted);
    }
    Ok(())
}

struct Line<'a> {
    operation: OperationId,
    service: &'a str,
    length: usize,
    checksum: u64,
}

impl<'a> Line<'a> {
    fn parse(line: &'a [u8]) -> Option<Self> {
        let line = std::str::from_utf8(line).ok()?;
        let fields: Vec<&str> = line.split(' ').collect();
        if fields.len() != FIELDS || fields[0] != MAGIC {
            return None;
        }
        Some(Self {
            operation: fields[1].parse().ok()?,
            service: fields[2],
            length: fields[3].parse().ok()?,
            checksum: u64::from_str_radix(fields[4], 16).ok()?,
        })
    }
}
