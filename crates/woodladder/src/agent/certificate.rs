//! The TLS certificate that callers see: read from PEM files, or generated in
//! memory.

use std::fmt;
use std::path::{Path, PathBuf};

use rustls::pki_types::pem::{self, PemObject as _};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

use super::config::Certificate;

/// Why a certificate cannot be loaded or generated.
#[derive(Debug)]
pub enum CertificateError {
    /// A PEM file cannot be read.
    Unreadable(PathBuf, pem::Error),
    /// A PEM file holds no certificate.
    NoCertificate(PathBuf),
    /// A self-signed certificate cannot be generated.
    Generation(rcgen::Error),
}

impl Certificate {
    /// Reads a certificate chain and its private key from PEM files.
    ///
    /// # Errors
    /// [`CertificateError`] when a file cannot be read or holds no certificate
    /// or key.
    pub fn from_pem_files(chain: &Path, key: &Path) -> Result<Self, CertificateError> {
        let certificates = CertificateDer::pem_file_iter(chain)
            .and_then(Iterator::collect::<Result<Vec<_>, _>>)
            .map_err(unreadable(chain))?;
        if certificates.is_empty() {
            return Err(CertificateError::NoCertificate(chain.to_owned()));
        }
        let key = PrivateKeyDer::from_pem_file(key).map_err(unreadable(key))?;
        Ok(Self {
            chain: certificates,
            key,
        })
    }

    /// Generates a self-signed certificate for these DNS names.
    ///
    /// # Errors
    /// [`CertificateError`] when a name is not a valid DNS name.
    pub fn self_signed(names: &[String]) -> Result<Self, CertificateError> {
        let generated = rcgen::generate_simple_self_signed(names.to_vec())
            .map_err(CertificateError::Generation)?;
        let key = PrivatePkcs8KeyDer::from(generated.signing_key.serialize_der());
        Ok(Self {
            chain: vec![generated.cert.der().clone()],
            key: key.into(),
        })
    }
}

fn unreadable(path: &Path) -> impl FnOnce(pem::Error) -> CertificateError {
    move |error| CertificateError::Unreadable(path.to_owned(), error)
}

impl fmt::Display for CertificateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::NoCertificate(path) => {
                write!(formatter, "{}: contains no certificate", path.display())
            }
            Self::Generation(error) => write!(formatter, "cannot generate a certificate: {error}"),
        }
    }
}

impl std::error::Error for CertificateError {}
