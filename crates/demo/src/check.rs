//! Verification of a running deployment from issuing a key to shutting down a host.

use anyhow::{Context as _, ensure};
use reqwest::{Client, Method, StatusCode};
use serde_json::Value;

use crate::deployment::Deployment;

const UPLOAD_BYTES: usize = 1_000_000;

/// Verifies keys, lookups, forwarding, request ids, revocation and graceful shutdown, and returns
/// one line per verified step. Stops at the first step that fails and returns it as the error.
///
/// Expects the hosts and upstreams of the default [`DeploymentSettings`](crate::DeploymentSettings)
/// and shuts down the first host.
pub async fn check_deployment(deployment: &mut Deployment) -> anyhow::Result<Vec<String>> {
    let mut verified = Vec::new();
    let client = Client::builder().no_proxy().build()?;
    let (key, version) = deployment.issue_key("demo-1", "school-1").await?;
    deployment.wait_until_active(version).await?;
    verified.push(format!("key demo-1 of team school-1 is active everywhere as version {version}"));

    let base = deployment.url(0)?;
    let lookup: Value = client
        .get(format!("{base}/v1/lookup?service=ledger-view&client=10.2.0.7"))
        .send()
        .await?
        .json()
        .await?;
    let first_host =
        lookup["hosts"][0]["name"].as_str().context("lookup answer lists no host")?.to_owned();
    ensure!(
        first_host == "entry-3",
        "lookup for 10.2.0.7 names {first_host} first, expected entry-3 in the zone of the client",
    );
    verified.push(format!("lookup for 10.2.0.7 names {first_host} in its own zone first"));

    let bearer = format!("Bearer {}", key.reveal());
    let response = client
        .get(format!("{base}/ledger-view/balances/7?year=2026"))
        .header("authorization", &bearer)
        .send()
        .await?;
    let status = response.status();
    ensure!(
        status == StatusCode::OK,
        "read was answered with {status}: {}",
        response.text().await?
    );
    ensure!(
        response.headers()["kingcupford-outcome"] == "executed",
        "the outcome of the read is not `executed`",
    );
    // The stand-in's response lists the headers of the request that it received.
    let upstream_report = response.text().await?;
    ensure!(!upstream_report.contains(key.reveal()), "the upstream received the key");
    ensure!(
        upstream_report.contains("school-1"),
        "the upstream did not receive the tenant: {upstream_report}",
    );
    verified.push("read was executed, the upstream saw the team and not the key".to_owned());

    let refused = client.get(format!("{base}/ledger-view/balances/7")).send().await?;
    ensure!(
        refused.status() == StatusCode::UNAUTHORIZED,
        "request without a key was answered with {}",
        refused.status()
    );
    ensure!(
        refused.headers()["kingcupford-outcome"] == "not-run",
        "the outcome of the refusal is not `not-run`",
    );
    verified.push("a request without a key was refused as not run".to_owned());

    check_deposit(&client, &base, &bearer, &mut verified).await?;
    check_upload(&client, &base, &bearer, &mut verified).await?;

    let revoked = deployment.config.revoke_key("demo-1", "revoke-demo-1").await;
    let kingcupford_platform::ChangeOutcome::Applied { version } = revoked else {
        anyhow::bail!("key demo-1 was not revoked: {revoked:?}");
    };
    let revocation_time = deployment.wait_until_active(version).await?;
    let refused = client
        .get(format!("{base}/ledger-view/balances/7"))
        .header("authorization", &bearer)
        .send()
        .await?;
    ensure!(
        refused.status() == StatusCode::UNAUTHORIZED,
        "request with the revoked key was answered with {}",
        refused.status()
    );
    verified.push(format!(
        "the revoked key stopped working everywhere after {} ms",
        revocation_time.as_millis()
    ));

    let shutdown = deployment.stop_host(0).await.context("host entry-1 is already stopped")?;
    ensure!(
        shutdown.cut_requests == 0,
        "the shutdown of entry-1 cut {} requests",
        shutdown.cut_requests
    );
    verified.push("entry-1 shut down gracefully and cut no request".to_owned());
    Ok(verified)
}

/// Verifies that a deposit runs and that a repeat with the same request id is answered with the
/// recorded outcome.
async fn check_deposit(
    client: &Client,
    base: &str,
    bearer: &str,
    verified: &mut Vec<String>,
) -> anyhow::Result<()> {
    let send_deposit = |request_id: Option<String>| {
        let mut request = client
            .request(Method::POST, format!("{base}/deposit-desk/deposits"))
            .header("authorization", bearer)
            .body("{\"child\":7,\"yen\":500}");
        if let Some(id) = request_id {
            request = request.header("kingcupford-request-id", id);
        }
        request.send()
    };
    let refused = send_deposit(None).await?;
    ensure!(
        refused.status() == StatusCode::PRECONDITION_REQUIRED,
        "deposit without a request id was answered with {}",
        refused.status(),
    );
    let binding =
        refused.headers().get("kingcupford-binding").context("refusal without a binding")?;
    let request_id = format!("{}.deposit-1", binding.to_str()?);
    let first = send_deposit(Some(request_id.clone())).await?;
    ensure!(first.status() == StatusCode::OK, "deposit was answered with {}", first.status());
    first.bytes().await?;
    let second = send_deposit(Some(request_id)).await?;
    ensure!(
        second.status() == StatusCode::CONFLICT,
        "repeated deposit was answered with {}",
        second.status()
    );
    ensure!(
        second.headers()["kingcupford-outcome"] == "executed",
        "the outcome of the repeated deposit is not `executed`",
    );
    verified.push("a deposit ran once, its repeat was answered from the record".to_owned());
    Ok(())
}

/// Verifies that an upstream receives the whole body of an upload.
async fn check_upload(
    client: &Client,
    base: &str,
    bearer: &str,
    verified: &mut Vec<String>,
) -> anyhow::Result<()> {
    let url = format!("{base}/photo-drop/classes/3");
    let refused = client.post(&url).header("authorization", bearer).send().await?;
    let binding =
        refused.headers().get("kingcupford-binding").context("refusal without a binding")?;
    let request_id = format!("{}.upload-1", binding.to_str()?);
    let response = client
        .post(&url)
        .header("authorization", bearer)
        .header("kingcupford-request-id", request_id)
        .body(vec![b'x'; UPLOAD_BYTES])
        .send()
        .await?;
    ensure!(response.status() == StatusCode::OK, "upload was answered with {}", response.status());
    let report: Value = response.json().await?;
    let received_bytes = report["body_bytes"].as_u64();
    ensure!(
        received_bytes == Some(UPLOAD_BYTES as u64),
        "upstream did not receive {UPLOAD_BYTES} bytes: {report}",
    );
    verified.push(format!("an upload of {UPLOAD_BYTES} bytes arrived whole"));
    Ok(())
}
