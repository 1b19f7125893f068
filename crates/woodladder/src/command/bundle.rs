//! `woodladder bundle`: creates, checks, signs, shows and compares bundles.

use std::io::Write as _;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use woodladder_core::configuration::bundle::{Bundle, SignedBundle};
use woodladder_core::configuration::bundle_source::{EXAMPLE, render};
use woodladder_core::finding::Findings;
use woodladder_core::signature::{PublicKey, TrustedKeys};

use super::bundle_difference::BundleDifference;
use super::bundle_file::{BundleFile, encode_signed, file_finding, load_bundle};
use super::error::CommandError;
use super::key_file::read_key;
use super::output::print_json;
use crate::settings::parse_public_key;

pub(super) const HELP: &str = "Examples:
  woodladder bundle new --out bundle.toml
  woodladder bundle check bundle.toml
  woodladder bundle sign bundle.toml --key operator.key --out bundle.signed
  woodladder bundle show bundle.signed
  woodladder bundle diff old.signed new.signed --json";

const RULE_SIGNATURE: &str = "a signed bundle has the signature of a trusted operator";

#[derive(Debug, Subcommand)]
pub(super) enum BundleCommand {
    /// Write an example bundle to start from
    #[command(after_help = HELP)]
    New {
        /// File to write; it must not exist
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Check a bundle and print every finding
    #[command(after_help = HELP)]
    Check {
        /// Bundle, TOML source or signed
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Public key of an operator who may have signed the bundle; may be given several times
        #[arg(long = "trusted-key", value_name = "HEX", value_parser = parse_public_key)]
        trusted_keys: Vec<PublicKey>,
        /// Print the findings as JSON
        #[arg(long)]
        json: bool,
    },
    /// Sign a bundle
    #[command(after_help = HELP)]
    Sign {
        /// Bundle as TOML source
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// File with the operator's secret key
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
        /// File to write
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Print a bundle with its digest and signature
    #[command(after_help = HELP)]
    Show {
        /// Bundle, TOML source or signed
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Print as JSON
        #[arg(long)]
        json: bool,
    },
    /// Print what differs between two bundles
    #[command(after_help = HELP)]
    Diff {
        /// Old bundle, TOML source or signed
        #[arg(value_name = "OLD")]
        old: PathBuf,
        /// New bundle, TOML source or signed
        #[arg(value_name = "NEW")]
        new: PathBuf,
        /// Print as JSON
        #[arg(long)]
        json: bool,
    },
}

impl BundleCommand {
    pub(super) fn run(self) -> Result<(), CommandError> {
        match self {
            Self::New { out } => write_example(&out),
            Self::Check {
                file,
                trusted_keys,
                json,
            } => check(&file, trusted_keys, json),
            Self::Sign { file, key, out } => sign(&file, &key, &out),
            Self::Show { file, json } => show(&file, json),
            Self::Diff { old, new, json } => diff(&old, &new, json),
        }
    }
}

fn write_example(out: &Path) -> Result<(), CommandError> {
    let mut file =
        std::fs::File::create_new(out).map_err(|error| CommandError::file(out, error))?;
    file.write_all(EXAMPLE.as_bytes())
        .map_err(|error| CommandError::file(out, error))
}

fn check(path: &Path, trusted_keys: Vec<PublicKey>, json: bool) -> Result<(), CommandError> {
    let result = load_bundle(path).and_then(|file| check_signature(path, &file, trusted_keys));
    if !json {
        result?;
        println!("no findings");
        return Ok(());
    }
    match result {
        Ok(()) => print_json(&Findings::new()),
        Err(CommandError::Findings(findings)) => {
            print_json(&findings)?;
            Err(CommandError::Refused("the bundle has findings".to_owned()))
        }
        Err(error) => Err(error),
    }
}

/// Checks that the bundle is signed with a trusted key; without trusted keys
/// nothing is checked.
fn check_signature(
    path: &Path,
    file: &BundleFile,
    trusted_keys: Vec<PublicKey>,
) -> Result<(), CommandError> {
    if trusted_keys.is_empty() {
        return Ok(());
    }
    let name = path.display().to_string();
    let BundleFile::Signed(signed) = file else {
        return Err(file_finding(&name, "is not signed", RULE_SIGNATURE));
    };
    signed
        .verify(&TrustedKeys::new(trusted_keys))
        .map_err(|error| file_finding(&name, &error.to_string(), RULE_SIGNATURE))
}

fn sign(path: &Path, key: &Path, out: &Path) -> Result<(), CommandError> {
    let bundle = load_bundle(path)?.bundle().clone();
    let signed = SignedBundle::sign(bundle, &read_key(key)?);
    let bytes = encode_signed(&signed)?;
    std::fs::write(out, bytes).map_err(|error| CommandError::file(out, error))?;
    println!(
        "signed version {} by {}",
        signed.bundle.version, signed.sign_off.key
    );
    println!("digest {}", signed.bundle.digest());
    Ok(())
}

fn show(path: &Path, json: bool) -> Result<(), CommandError> {
    let file = load_bundle(path)?;
    let bundle = file.bundle();
    let signer = match &file {
        BundleFile::Source(_) => None,
        BundleFile::Signed(signed) => Some(signed.sign_off.key.to_string()),
    };
    let text = render(bundle).map_err(|error| CommandError::Internal(error.to_string()))?;
    if json {
        return show_json(bundle, signer, &text);
    }
    println!("# digest {}", bundle.digest());
    println!("# signed by {}", signer.as_deref().unwrap_or("nobody"));
    print!("{text}");
    Ok(())
}

fn show_json(bundle: &Bundle, signer: Option<String>, text: &str) -> Result<(), CommandError> {
    let value: serde_json::Value =
        toml::from_str(text).map_err(|error| CommandError::Internal(error.to_string()))?;
    print_json(&serde_json::json!({
        "digest": bundle.digest().to_string(),
        "signed_by": signer,
        "bundle": value,
    }))
}

fn diff(old: &Path, new: &Path, json: bool) -> Result<(), CommandError> {
    let old = load_bundle(old)?;
    let new = load_bundle(new)?;
    let difference = BundleDifference::between(old.bundle(), new.bundle());
    if json {
        return print_json(&difference);
    }
    print!("{difference}");
    Ok(())
}
