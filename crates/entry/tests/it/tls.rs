//! TLS for callers.

use std::{fs, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context as _, ensure};
use kingcupford_demo::CertificateAuthority;
use kingcupford_entry::CallerTls;
use rustls::pki_types::{CertificateDer, ServerName};
use tokio::{net::TcpStream, time::Instant};
use tokio_rustls::{TlsConnector, client::TlsStream};

use crate::support::{TestFleet, exchange, run_test, settings, wait_until};

/// Guards against callers that cannot use TLS, and against a replaced certificate that needs a
/// restart or closes open connections.
#[test]
fn certificate_replaced() {
    run_test(async {
        let mut fleet = TestFleet::prepare(settings(1, &["fukuoka-a"], 16), |_| {}).await?;
        let ca = CertificateAuthority::new(&fleet.deployment.folder().join("callers"))?;
        let files = ca.issue("localhost")?;
        let mut host_settings = fleet.deployment.host_settings(0)?;
        host_settings.tls = Some(CallerTls {
            certificate_file: files.certificate_file.clone(),
            key_file: files.key_file.clone(),
        });
        fleet.start_host_with(0, &host_settings)?;
        fleet.wait_until_settled(1).await?;
        let address = fleet.host(0).caller;
        let (mut first, old_certificate) = connect(address, &files.ca_file).await?;
        let head = "GET /ledger-view/open HTTP/1.1\r\nhost: x\r\n\r\n";
        let (status, body) = exchange(&mut first, head).await?;
        ensure!(status == 200, "{status} {body}");

        ca.issue("localhost")?;
        let replaced_at = Instant::now();
        wait_until("the new certificate is used", Duration::from_secs(5), || async {
            connect(address, &files.ca_file).await.is_ok_and(|it| it.1 != old_certificate)
        })
        .await?;
        println!("the new certificate was used after {:?}", replaced_at.elapsed());
        ensure!(exchange(&mut first, head).await?.0 == 200, "the open connection ended");
        let (mut second, _) = connect(address, &files.ca_file).await?;
        ensure!(exchange(&mut second, head).await?.0 == 200, "a new connection failed");

        // An invalid key file leaves the current certificate in use.
        let (_, current_certificate) = connect(address, &files.ca_file).await?;
        fs::write(&files.key_file, "no key")?;
        wait_until("the error is logged", Duration::from_secs(10), || async {
            fleet.host(0).log().contains("CertificatesRejected")
        })
        .await?;
        let (_, later_certificate) = connect(address, &files.ca_file).await?;
        ensure!(later_certificate == current_certificate, "another certificate is used");
        Ok(())
    });
}

/// Opens a connection and returns it with the certificate of the host.
async fn connect(
    address: SocketAddr,
    ca_file: &str,
) -> anyhow::Result<(TlsStream<TcpStream>, CertificateDer<'static>)> {
    let mut roots = rustls::RootCertStore::empty();
    for it in rustls_pemfile::certs(&mut fs::read(ca_file)?.as_slice()) {
        roots.add(it?)?;
    }
    let provider = rustls::crypto::ring::default_provider().into();
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(address).await?;
    let name = ServerName::try_from("localhost")?;
    let stream = TlsConnector::from(Arc::new(config)).connect(name, stream).await?;
    let certificates = stream.get_ref().1.peer_certificates().context("no certificate")?;
    let certificate = certificates.first().context("no certificate")?.clone();
    Ok((stream, certificate))
}
