//! Files that the processes of a deployment read and write.

use std::path::{Path, PathBuf};

use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::pki_types::CertificateDer;

use super::error::{ClusterError, SERVER_NAME};
use super::plan::Deployment;

#[derive(Debug)]
pub(super) struct Files {
    directory: PathBuf,
}

impl Files {
    pub(super) fn new(directory: &Path) -> Self {
        Self {
            directory: directory.to_owned(),
        }
    }

    /// Writes settings, bundles, keys and the certificate.
    pub(super) fn write(
        &self,
        deployment: &Deployment,
    ) -> Result<CertificateDer<'static>, ClusterError> {
        std::fs::create_dir_all(&self.directory)?;
        let example = deployment.example;
        let texts = [
            ("bundle-1.toml", example.first_bundle),
            ("bundle-2.toml", example.second_bundle),
            ("balancer.toml", example.balancer_settings),
            ("agent.toml", example.agent_settings),
            ("operator.toml", example.operator_settings),
            ("operator.key", example.operator_key),
        ];
        for (name, text) in texts {
            self.write_text(name, &deployment.network.text(text))?;
        }
        self.write_certificate()
    }

    pub(super) fn write_text(&self, name: &str, text: &str) -> Result<(), ClusterError> {
        std::fs::write(self.path(name), text)?;
        Ok(())
    }

    pub(super) fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    fn write_certificate(&self) -> Result<CertificateDer<'static>, ClusterError> {
        let CertifiedKey { cert, signing_key } =
            generate_simple_self_signed(vec![SERVER_NAME.to_owned()])?;
        self.write_text("agent.crt", &cert.pem())?;
        self.write_text("agent.key", &signing_key.serialize_pem())?;
        Ok(cert.der().clone())
    }
}
