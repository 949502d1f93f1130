//! Certificate authority that issues the certificates of hosts in demonstrations and tests.

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

/// Self-signed certificate authority (CA) that writes its certificate and all issued ones into a
/// folder.
pub struct CertificateAuthority {
    folder: PathBuf,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    /// Creates a CA with a new key and writes its certificate to `ca.pem` in `folder`, which is
    /// created if it does not exist.
    pub fn new(folder: &Path) -> anyhow::Result<Self> {
        fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::DigitalSignature];
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        fs::write(folder.join("ca.pem"), issuer.pem())?;
        Ok(Self { folder: folder.to_owned(), issuer })
    }

    /// Issues a certificate for server and client authentication with `host` as its subject
    /// alternative name, writes it and its private key into the folder as PEM and returns the
    /// paths.
    pub fn issue(&self, host: &str) -> anyhow::Result<PeerTls> {
        let mut params = CertificateParams::new(vec![host.to_owned()])?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        let path = |suffix: &str| self.folder.join(format!("{host}{suffix}"));
        fs::write(path(".pem"), certificate.pem())?;
        fs::write(path(".key"), key.serialize_pem())?;
        let path_text = |path: PathBuf| path.display().to_string();
        Ok(PeerTls {
            certificate_file: path_text(path(".pem")),
            key_file: path_text(path(".key")),
            ca_file: path_text(self.folder.join("ca.pem")),
        })
    }
}
