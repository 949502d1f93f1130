//! The certificate for callers, read again when its files change.

use std::{fs, time::Duration};

use anyhow::Context as _;
use futures_util::{Stream, stream};
use kingcupford_telemetry::Event;
use poem::listener::{RustlsCertificate, RustlsConfig};
use tokio::time::sleep;

use crate::settings::CallerTls;

/// Time between two looks at the files.
const CHECK_EVERY: Duration = Duration::from_secs(2);

/// Contents of the two files.
type Pem = (Vec<u8>, Vec<u8>);

/// The present certificate, and a new one whenever the files change.
pub(crate) fn configurations(
    tls: &CallerTls,
) -> anyhow::Result<impl Stream<Item = RustlsConfig> + use<>> {
    let first = read(tls)?;
    // A certificate that cannot be used has to stop the start, not each connection.
    check(&first)?;
    let tls = tls.clone();
    let initial = (tls, first, true);
    Ok(stream::unfold(initial, |(tls, known, is_first)| async move {
        if is_first {
            return Some((configuration(&known), (tls, known, false)));
        }
        loop {
            sleep(CHECK_EVERY).await;
            // Files that cannot be read are being replaced.
            let Ok(newer) = read(&tls) else { continue };
            if newer == known {
                continue;
            }
            if let Err(error) = check(&newer) {
                Event::CertificatesRejected
                    .log(format_args!("{}: {error:#}", tls.certificate_file));
                continue;
            }
            Event::CertificatesReloaded.log(format_args!("{}", tls.certificate_file));
            return Some((configuration(&newer), (tls, newer, false)));
        }
    }))
}

/// Reads both files.
fn read(tls: &CallerTls) -> anyhow::Result<Pem> {
    let read = |path: &str| fs::read(path).with_context(|| format!("certificate file {path}"));
    Ok((read(&tls.certificate_file)?, read(&tls.key_file)?))
}

/// The server's configuration for a certificate.
fn configuration((certificate, key): &Pem) -> RustlsConfig {
    let certificate = RustlsCertificate::new().cert(certificate.clone()).key(key.clone());
    RustlsConfig::new().fallback(certificate)
}

/// Whether certificate and key can be used together.
fn check((certificate, key): &Pem) -> anyhow::Result<()> {
    let chain =
        rustls_pemfile::certs(&mut certificate.as_slice()).collect::<Result<Vec<_>, _>>()?;
    let key = rustls_pemfile::private_key(&mut key.as_slice())?.context("no private key")?;
    let provider = rustls::crypto::ring::default_provider().into();
    rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context("certificate and key do not fit")?;
    Ok(())
}
