//! Files that hold a bundle: its written form (TOML) or its signed form.

use std::path::Path;

use borsh::BorshDeserialize as _;
use woodladder_core::configuration::bundle::{Bundle, SignedBundle};
use woodladder_core::configuration::bundle_source;
use woodladder_core::finding::{Finding, Findings, Place};

use super::failure::Failure;

/// First bytes of a file with a signed bundle.
const SIGNED_MAGIC: &[u8] = b"woodladder signed bundle 1\n";
/// Longest file that is read.
const MAXIMUM_LENGTH: u64 = 16 * 1024 * 1024;

const RULE_LENGTH: &str = "a bundle file has at most 16 MiB";
const RULE_TEXT: &str = "a bundle file is UTF-8 text, or was made by `bundle sign`";
const RULE_SIGNED: &str = "a signed bundle is whole and unchanged since `bundle sign` made it";

/// What a bundle file holds.
#[derive(Clone, Debug)]
pub enum BundleFile {
    /// The operators' written form.
    Written(Bundle),
    /// The form that `bundle sign` makes.
    Signed(SignedBundle),
}

impl BundleFile {
    /// The bundle in either form.
    #[must_use]
    pub fn bundle(&self) -> &Bundle {
        match self {
            Self::Written(bundle) => bundle,
            Self::Signed(signed) => &signed.bundle,
        }
    }
}

/// Reads a bundle file of either form.
///
/// # Errors
/// [`Failure`] with every finding.
pub fn load(path: &Path) -> Result<BundleFile, Failure> {
    let name = path.display().to_string();
    let bytes = read(path, &name)?;
    if let Some(encoded) = bytes.strip_prefix(SIGNED_MAGIC) {
        let signed = SignedBundle::try_from_slice(encoded)
            .map_err(|_| refused(&name, "cannot be decoded", RULE_SIGNED))?;
        return Ok(BundleFile::Signed(signed));
    }
    let text =
        String::from_utf8(bytes).map_err(|_| refused(&name, "is not a bundle", RULE_TEXT))?;
    Ok(BundleFile::Written(bundle_source::parse(&name, &text)?))
}

/// Encodes a signed bundle for a file.
pub(super) fn encode_signed(signed: &SignedBundle) -> Result<Vec<u8>, Failure> {
    let mut bytes = SIGNED_MAGIC.to_vec();
    borsh::to_writer(&mut bytes, signed).map_err(|error| Failure::Internal(error.to_string()))?;
    Ok(bytes)
}

fn read(path: &Path, name: &str) -> Result<Vec<u8>, Failure> {
    let length = std::fs::metadata(path)
        .map_err(|error| Failure::file(path, error))?
        .len();
    if length > MAXIMUM_LENGTH {
        return Err(refused(name, "is too long", RULE_LENGTH));
    }
    std::fs::read(path).map_err(|error| Failure::file(path, error))
}

pub(super) fn refused(file: &str, problem: &str, rule: &'static str) -> Failure {
    let mut findings = Findings::new();
    findings.push(Finding {
        place: Place {
            file: Some(file.to_owned()),
            ..Place::default()
        },
        problem: problem.to_owned(),
        rule,
    });
    Failure::Findings(findings)
}
