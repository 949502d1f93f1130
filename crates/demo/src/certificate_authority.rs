//! A CA of its own and certificates for hosts, for demonstrations and tests.

use std::{
    fs,
    path::{Path, PathBuf},
};

use anyhow::Context as _;
use kingcupford_entry::PeerTls;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
    KeyUsagePurpose,
};

/// A CA whose certificates are kept in a folder.
pub struct CertificateAuthority {
    /// The folder.
    folder: PathBuf,
    /// Signs certificates of hosts.
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    /// Makes a CA and writes its certificate into the folder.
    pub fn new(folder: &Path) -> anyhow::Result<Self> {
        fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        fs::write(folder.join("ca.pem"), issuer.pem())?;
        Ok(Self { folder: folder.to_owned(), issuer })
    }

    /// Makes a certificate for a host and answers its files.
    pub fn issue(&self, host: &str) -> anyhow::Result<PeerTls> {
        let mut params = CertificateParams::new(vec![host.to_owned()])?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        let path = |suffix: &str| self.folder.join(format!("{host}{suffix}"));
        fs::write(path(".pem"), certificate.pem())?;
        fs::write(path(".key"), key.serialize_pem())?;
        let text = |path: PathBuf| path.display().to_string();
        Ok(PeerTls {
            certificate_file: text(path(".pem")),
            key_file: text(path(".key")),
            ca_file: text(self.folder.join("ca.pem")),
        })
    }
}
