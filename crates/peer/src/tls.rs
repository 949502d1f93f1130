//! TLS configurations built from PEM files.

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

/// ALPN protocol of connections between hosts.
const ALPN: &[u8] = b"kingcupford-peer";

/// TLS configurations for new connections.
#[derive(Debug, Clone)]
pub(crate) struct TlsConfigs {
    /// Configuration of outbound connections.
    pub(crate) client: Arc<ClientConfig>,
    /// Configuration of inbound connections.
    pub(crate) server: Arc<ServerConfig>,
    /// Number of reloads before these configurations; 0 for the first.
    pub(crate) generation: u64,
}

/// Contents of the certificate files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PemFiles {
    /// CA certificates, certificate chain and private key, in this order.
    files: [Vec<u8>; 3],
}

impl PemFiles {
    /// Reads the files that the settings name.
    pub(crate) fn read(settings: &TransportSettings) -> anyhow::Result<Self> {
        let read = |path: &std::path::PathBuf| {
            fs::read(path).with_context(|| {
                format!(
                    "cannot read certificate file `{}` (hint: check the settings)",
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

impl TlsConfigs {
    /// Builds the configurations. Fails if the host's certificate is not valid for `host_name`.
    pub(crate) fn new(host_name: &str, pem: &PemFiles, generation: u64) -> anyhow::Result<Self> {
        let [ca, chain, key] = &pem.files;
        let mut roots = RootCertStore::empty();
        for certificate in parse_certificates(ca).context("cannot parse the CA file")? {
            roots.add(certificate).context("unusable CA certificate")?;
        }
        ensure!(!roots.is_empty(), "CA file contains no certificate (hint: expected PEM)");
        let roots = Arc::new(roots);
        let chain = parse_certificates(chain).context("cannot parse the certificate file")?;
        let host_certificate = chain.first().context("certificate file contains no certificate")?;
        verify_host_name(host_certificate, host_name)
            .context("own certificate is not valid for this host")?;
        let key = PrivateKeyDer::from_pem_slice(key).context("cannot parse the key file")?;
        let provider = Arc::new(ring::default_provider());
        let mut client = ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()?
            .with_root_certificates(Arc::clone(&roots))
            .with_client_auth_cert(chain.clone(), key.clone_key())
            .context("certificate and private key do not match")?;
        client.alpn_protocols = vec![ALPN.to_vec()];
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider)).build()?;
        let mut server = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, key)
            .context("certificate and private key do not match")?;
        server.alpn_protocols = vec![ALPN.to_vec()];
        Ok(Self { client: Arc::new(client), server: Arc::new(server), generation })
    }
}

/// Checks that a certificate is valid for a host name.
pub(crate) fn verify_host_name(
    certificate: &CertificateDer<'_>,
    host_name: &str,
) -> anyhow::Result<()> {
    let server_name = server_name(host_name)?;
    let parsed = ParsedCertificate::try_from(certificate)?;
    verify_server_name(&parsed, &server_name)
        .with_context(|| format!("certificate is not valid for host `{host_name}`"))
}

/// Converts a host name to the form in which TLS verifies it.
pub(crate) fn server_name(host_name: &str) -> anyhow::Result<ServerName<'static>> {
    ServerName::try_from(host_name.to_owned()).with_context(|| {
        format!("host name `{host_name}` is not a DNS name (hint: rename the host)")
    })
}

fn parse_certificates(pem: &[u8]) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    Ok(CertificateDer::pem_slice_iter(pem).collect::<Result<_, _>>()?)
}
