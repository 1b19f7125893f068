//! Bundle files: TOML source that operators write, or signed bundles.

use std::path::Path;

use borsh::BorshDeserialize as _;
use woodladder_core::configuration::bundle::{Bundle, SignedBundle};
use woodladder_core::configuration::bundle_source;
use woodladder_core::finding::{Finding, Findings, Place};

use super::error::CommandError;

/// Magic bytes at the start of a signed bundle file.
const SIGNED_MAGIC: &[u8] = b"woodladder signed bundle 1\n";
/// Longest bundle file that is read, in bytes.
const MAXIMUM_FILE_LENGTH: u64 = 16 * 1024 * 1024;

const RULE_LENGTH: &str = "a bundle file has at most 16 MiB";
const RULE_TEXT: &str = "a bundle file is UTF-8 text, or was made by `bundle sign`";
const RULE_SIGNED: &str = "a signed bundle is complete and unchanged since `bundle sign` made it";

/// Content of a bundle file.
#[derive(Clone, Debug)]
pub enum BundleFile {
    /// A bundle from TOML source.
    Source(Bundle),
    /// A signed bundle that `bundle sign` made.
    Signed(SignedBundle),
}

impl BundleFile {
    /// The bundle, signed or not.
    #[must_use]
    pub fn bundle(&self) -> &Bundle {
        match self {
            Self::Source(bundle) => bundle,
            Self::Signed(signed) => &signed.bundle,
        }
    }
}

/// Reads a bundle file, TOML source or signed.
///
/// # Errors
/// [`CommandError`] when the file cannot be read, or with all findings about its
/// content.
pub fn load_bundle(path: &Path) -> Result<BundleFile, CommandError> {
    let name = path.display().to_string();
    let bytes = read_limited(path, &name)?;
    if let Some(encoded) = bytes.strip_prefix(SIGNED_MAGIC) {
        let signed = SignedBundle::try_from_slice(encoded)
            .map_err(|_| file_finding(&name, "cannot be decoded", RULE_SIGNED))?;
        return Ok(BundleFile::Signed(signed));
    }
    let text =
        String::from_utf8(bytes).map_err(|_| file_finding(&name, "is not a bundle", RULE_TEXT))?;
    Ok(BundleFile::Source(bundle_source::parse(&name, &text)?))
}

/// Encodes a signed bundle as the content of a file.
pub(super) fn encode_signed(signed: &SignedBundle) -> Result<Vec<u8>, CommandError> {
    let mut bytes = SIGNED_MAGIC.to_vec();
    borsh::to_writer(&mut bytes, signed)
        .map_err(|error| CommandError::Internal(error.to_string()))?;
    Ok(bytes)
}

/// Reads a file of at most [`MAXIMUM_FILE_LENGTH`].
fn read_limited(path: &Path, name: &str) -> Result<Vec<u8>, CommandError> {
    let length = std::fs::metadata(path)
        .map_err(|error| CommandError::file(path, error))?
        .len();
    if length > MAXIMUM_FILE_LENGTH {
        return Err(file_finding(name, "is too long", RULE_LENGTH));
    }
    std::fs::read(path).map_err(|error| CommandError::file(path, error))
}

/// The error with one finding about a whole file.
pub(super) fn file_finding(file: &str, problem: &str, rule: &'static str) -> CommandError {
    let mut findings = Findings::new();
    findings.push(Finding {
        place: Place {
            file: Some(file.to_owned()),
            ..Place::default()
        },
        problem: problem.to_owned(),
        rule,
    });
    CommandError::Findings(findings)
}
