//! A whole exchange over a running deployment, verified step by step.

use anyhow::{Context as _, ensure};
use reqwest::{Client, Method, StatusCode};
use serde_json::Value;

use crate::deployment::Deployment;

/// Bytes of the upload.
const UPLOAD_BYTES: usize = 1_000_000;

/// Runs the exchange and answers what was verified, a line for each step.
pub async fn check_deployment(deployment: &mut Deployment) -> anyhow::Result<Vec<String>> {
    let mut res = Vec::new();
    let client = Client::builder().no_proxy().build()?;
    let (key, version) = deployment.issue_key("demo-1", "school-1").await?;
    deployment.wait_until_active(version).await?;
    res.push(format!("key demo-1 of tenant school-1 is active everywhere as version {version}"));

    let base = deployment.url(0)?;
    let lookup: Value = client
        .get(format!("{base}/v1/lookup?service=ledger-view&client=10.2.0.7"))
        .send()
        .await?
        .json()
        .await?;
    let first = lookup["hosts"][0]["name"].as_str().context("lookup names no host")?.to_owned();
    ensure!(first == "entry-3", "client 10.2.0.7 is sent to {first}, not to its zone's host");
    res.push(format!("lookup for 10.2.0.7 names {first} in its own zone first"));

    let bearer = format!("Bearer {}", key.reveal());
    let read = client
        .get(format!("{base}/ledger-view/balances/7?year=2026"))
        .header("authorization", &bearer)
        .send()
        .await?;
    let status = read.status();
    ensure!(status == StatusCode::OK, "read was answered {status}: {}", read.text().await?);
    ensure!(read.headers()["kingcupford-outcome"] == "executed", "outcome is missing");
    let seen = read.text().await?;
    ensure!(!seen.contains(key.reveal()), "the upstream saw the key");
    ensure!(seen.contains("school-1"), "the upstream was not told the tenant: {seen}");
    res.push("read was executed, the upstream saw the tenant and not the key".to_owned());

    let refused = client.get(format!("{base}/ledger-view/balances/7")).send().await?;
    ensure!(refused.status() == StatusCode::UNAUTHORIZED, "no key: {}", refused.status());
    ensure!(refused.headers()["kingcupford-outcome"] == "not-run", "refusal lacks its outcome");
    res.push("a request without a key was refused as not run".to_owned());

    check_deposit(&client, &base, &bearer, &mut res).await?;
    check_upload(&client, &base, &bearer, &mut res).await?;

    let revoked = deployment.config.revoke_key("demo-1", "revoke-demo-1").await;
    let kingcupford_platform::ChangeOutcome::Applied { version } = revoked else {
        anyhow::bail!("key was not revoked: {revoked:?}");
    };
    let time = deployment.wait_until_active(version).await?;
    let refused = client
        .get(format!("{base}/ledger-view/balances/7"))
        .header("authorization", &bearer)
        .send()
        .await?;
    ensure!(refused.status() == StatusCode::UNAUTHORIZED, "revoked key: {}", refused.status());
    res.push(format!("the revoked key stopped working everywhere after {} ms", time.as_millis()));

    let shutdown = deployment.stop_host(0).await.context("the host is stopped already")?;
    ensure!(shutdown.cut_requests == 0, "{} requests were cut", shutdown.cut_requests);
    res.push("entry-1 shut down gracefully and cut no request".to_owned());
    Ok(res)
}

/// A deposit runs once, and its repeat is answered from the record.
async fn check_deposit(
    client: &Client,
    base: &str,
    bearer: &str,
    res: &mut Vec<String>,
) -> anyhow::Result<()> {
    let post = |id: Option<String>| {
        let mut request = client
            .request(Method::POST, format!("{base}/deposit-desk/deposits"))
            .header("authorization", bearer)
            .body("{\"child\":7,\"yen\":500}");
        if let Some(id) = id {
            request = request.header("kingcupford-request-id", id);
        }
        request.send()
    };
    let refused = post(None).await?;
    ensure!(refused.status() == StatusCode::PRECONDITION_REQUIRED, "{}", refused.status());
    let binding = refused.headers().get("kingcupford-binding").context("no binding")?;
    let id = format!("{}.deposit-1", binding.to_str()?);
    let first = post(Some(id.clone())).await?;
    ensure!(first.status() == StatusCode::OK, "deposit was answered {}", first.status());
    first.bytes().await?;
    let second = post(Some(id)).await?;
    ensure!(second.status() == StatusCode::CONFLICT, "repeat was answered {}", second.status());
    ensure!(second.headers()["kingcupford-outcome"] == "executed", "repeat lacks its outcome");
    res.push("a deposit ran once, its repeat was answered from the record".to_owned());
    Ok(())
}

/// An upload arrives whole.
async fn check_upload(
    client: &Client,
    base: &str,
    bearer: &str,
    res: &mut Vec<String>,
) -> anyhow::Result<()> {
    let url = format!("{base}/photo-drop/classes/3");
    let refused = client.post(&url).header("authorization", bearer).send().await?;
    let binding = refused.headers().get("kingcupford-binding").context("no binding")?;
    let id = format!("{}.upload-1", binding.to_str()?);
    let answer = client
        .post(&url)
        .header("authorization", bearer)
        .header("kingcupford-request-id", id)
        .body(vec![b'x'; UPLOAD_BYTES])
        .send()
        .await?;
    ensure!(answer.status() == StatusCode::OK, "upload was answered {}", answer.status());
    let report: Value = answer.json().await?;
    let received = report["body_bytes"].as_u64();
    ensure!(received == Some(UPLOAD_BYTES as u64), "upstream reports {report}");
    res.push(format!("an upload of {UPLOAD_BYTES} bytes arrived whole"));
    Ok(())
}
