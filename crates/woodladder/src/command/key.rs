//! `woodladder key`: creates operators' keys and shows their public keys.

use std::path::PathBuf;

use clap::Subcommand;
use woodladder_core::signature::{KEY_LENGTH, OperatorKey};

use super::error::CommandError;
use super::key_file::{read_key, write_key};

pub(super) const HELP: &str = "Examples:
  woodladder key new --out operator.key
  woodladder key public operator.key

The public key goes into the setting `trusted_keys` of every node. The secret
key stays with the operator.";

#[derive(Debug, Subcommand)]
pub(super) enum KeyCommand {
    /// Create a key pair, write the secret key to a file and print the public key
    #[command(after_help = HELP)]
    New {
        /// File to write; it must not exist
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Print the public key of a secret key
    #[command(after_help = HELP)]
    Public {
        /// File with the secret key
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
}

impl KeyCommand {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let key = match self {
            Self::New { out } => {
                let secret: [u8; KEY_LENGTH] = rand::random();
                write_key(&out, &secret)?;
                OperatorKey::from_bytes(secret)
            }
            Self::Public { file } => read_key(&file)?,
        };
        println!("{}", key.public());
        Ok(())
    }
}
