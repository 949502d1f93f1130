//! TLS certificate for callers, reloaded when its files change.

use std::{fs, time::Duration};

use anyhow::Context as _;
use futures_util::{Stream, stream};
use kingcupford_telemetry::Event;
use poem::listener::{RustlsCertificate, RustlsConfig};
use tokio::time::sleep;

use crate::settings::CallerTls;

/// Interval at which the certificate files are checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// PEM text of the certificate chain and of the private key.
type PemFiles = (Vec<u8>, Vec<u8>);

/// Returns a stream of TLS configurations: the first one immediately, and one after each change of
/// the files. Fails if the initial files are unusable.
pub(crate) fn tls_configs(
    tls: &CallerTls,
) -> anyhow::Result<impl Stream<Item = RustlsConfig> + use<>> {
    let first = read_files(tls)?;
    // An unusable certificate must fail the start instead of every connection.
    validate(&first)?;
    let tls = tls.clone();
    let initial = (tls, first, true);
    Ok(stream::unfold(initial, |(tls, current, is_first)| async move {
        if is_first {
            return Some((tls_config(&current), (tls, current, false)));
        }
        loop {
            sleep(RELOAD_INTERVAL).await;
            // Unreadable files are taken as being replaced, and are read again after the interval.
            let Ok(loaded) = read_files(&tls) else { continue };
            if loaded == current {
                continue;
            }
            if let Err(error) = validate(&loaded) {
                Event::CertificatesRejected
                    .log(format_args!("{}: {error:#}", tls.certificate_file));
                continue;
            }
            Event::CertificatesReloaded.log(format_args!("{}", tls.certificate_file));
            return Some((tls_config(&loaded), (tls, loaded, false)));
        }
    }))
}

/// Reads the certificate file and the key file.
fn read_files(tls: &CallerTls) -> anyhow::Result<PemFiles> {
    let read =
        |path: &str| fs::read(path).with_context(|| format!("cannot read certificate file {path}"));
    Ok((read(&tls.certificate_file)?, read(&tls.key_file)?))
}

/// Builds the server's TLS configuration.
fn tls_config((certificate, key): &PemFiles) -> RustlsConfig {
    let certificate = RustlsCertificate::new().cert(certificate.clone()).key(key.clone());
    RustlsConfig::new().fallback(certificate)
}

/// Checks that the files are valid and that the key belongs to the certificate.
fn validate((certificate, key): &PemFiles) -> anyhow::Result<()> {
    let chain =
        rustls_pemfile::certs(&mut certificate.as_slice()).collect::<Result<Vec<_>, _>>()?;
    let key = rustls_pemfile::private_key(&mut key.as_slice())?
        .context("key file contains no private key")?;
    let provider = rustls::crypto::ring::default_provider().into();
    rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context("certificate and private key do not match")?;
    Ok(())
}
