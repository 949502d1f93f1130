//! TLS configurations from PEM files.

use std::{fs, sync::Arc};

use anyhow::{Context as _, ensure};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    client::verify_server_name,
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject as _},
    server::{ParsedCertificate, WebPkiClientVerifier},
};

use crate::settings::TransportSettings;

/// Application protocol of connections between hosts.
const ALPN: &[u8] = b"kingcupford-peer";

/// The configurations that new connections use.
#[derive(Debug, Clone)]
pub(crate) struct Tls {
    /// For outbound connections.
    pub(crate) client: Arc<ClientConfig>,
    /// For inbound connections.
    pub(crate) server: Arc<ServerConfig>,
    /// Number of the reload that made this one.
    pub(crate) generation: u64,
}

/// The content of the certificate files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PemFiles {
    /// CA, chain and key.
    files: [Vec<u8>; 3],
}

impl PemFiles {
    /// Reads the files that the settings name.
    pub(crate) fn read(settings: &TransportSettings) -> anyhow::Result<Self> {
        let read = |path: &std::path::PathBuf| {
            fs::read(path).with_context(|| {
                format!(
                    "certificate file `{}` cannot be read (hint: check settings)",
                    path.display()
                )
            })
        };
        let files = [
            read(&settings.ca_file)?,
            read(&settings.certificate_file)?,
            read(&settings.key_file)?,
        ];
        Ok(Self { files })
    }
}

impl Tls {
    /// Builds configurations, and checks that the own certificate names this host.
    pub(crate) fn new(host: &str, pem: &PemFiles, generation: u64) -> anyhow::Result<Self> {
        let [ca, chain, key] = &pem.files;
        let mut roots = RootCertStore::empty();
        for certificate in certificates(ca).context("CA file does not parse")? {
            roots.add(certificate).context("CA certificate is not usable")?;
        }
        ensure!(!roots.is_empty(), "CA file holds no certificate (hint: expected PEM)");
        let roots = Arc::new(roots);
        let chain = certificates(chain).context("certificate file does not parse")?;
        let own = chain.first().context("certificate file holds no certificate")?;
        check_name(own, host).context("own certificate does not name this host")?;
        let key = PrivateKeyDer::from_pem_slice(key).context("key file does not parse")?;
        let provider = Arc::new(ring::default_provider());
        let mut client = ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()?
            .with_root_certificates(Arc::clone(&roots))
            .with_client_auth_cert(chain.clone(), key.clone_key())
            .context("certificate and key do not belong together")?;
        client.alpn_protocols = vec![ALPN.to_vec()];
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider)).build()?;
        let mut server = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, key)
            .context("certificate and key do not belong together")?;
        server.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Self { client: Arc::new(client), server: Arc::new(server), generation })
    }
}

/// Checks that a certificate names a host.
pub(crate) fn check_name(certificate: &CertificateDer<'_>, host: &str) -> anyhow::Result<()> {
    let name = server_name(host)?;
    let parsed = ParsedCertificate::try_from(certificate)?;
    verify_server_name(&parsed, &name)
        .with_context(|| format!("certificate is not for host `{host}`"))
}

/// The host name as certificates hold it.
pub(crate) fn server_name(host: &str) -> anyhow::Result<ServerName<'static>> {
    ServerName::try_from(host.to_owned())
        .with_context(|| format!("host name `{host}` is not a DNS name (hint: rename the host)"))
}

/// The certificates of a PEM file.
fn certificates(pem: &[u8]) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    Ok(CertificateDer::pem_slice_iter(pem).collect::<Result<_, _>>()?)
}
