//! Golden file of a whole session of callers.

use std::{fmt::Write as _, time::Duration};

use expect_test::expect_file;
use kingcupford_platform::ChangeOutcome;
use reqwest::Response;
use serde_json::Value;

use crate::support::{TestFleet, run_test, settings, wait_until};

/// Guards against unintended changes of the statuses, headers and bodies that callers receive.
#[test]
fn session_golden() {
    run_test(async {
        let fleet = TestFleet::start(settings(2, &["fukuoka-a"], 16)).await?;
        let key = fleet.issue_key("session", "school-1").await?;
        let lookup = fleet.url(0, "/v1/lookup?service=ledger-view&client=10.0.0.7");
        wait_until("membership is stable", Duration::from_secs(30), || async {
            let Ok(response) = fleet.client.get(&lookup).send().await else { return false };
            let body: Value = response.json().await.unwrap_or_default();
            body["ttl_ms"] == 10_000 && body["hosts"][1]["binding"].is_string()
        })
        .await?;
        let binding = fleet.binding(0, &key).await?;
        let id = format!("{binding}.deposit-1");
        let mut transcript = String::new();
        let mut steps = vec![
            ("lookup", fleet.client.get(&lookup)),
            ("read", fleet.get(0, "/ledger-view/balances/7?year=2026", &key)),
            ("read without key", fleet.client.get(fleet.url(0, "/ledger-view/balances/7"))),
            ("open route", fleet.client.get(fleet.url(0, "/ledger-view/open/status"))),
            ("deposit without id", {
                let request = fleet.client.post(fleet.url(0, "/deposit-desk/deposits"));
                request.header("authorization", &key).body("{}")
            }),
            ("deposit", fleet.deposit(0, &key, &id, "deposit-1")),
            ("repeated deposit", fleet.deposit(0, &key, &id, "deposit-1")),
            ("repeat at another host", fleet.deposit(1, &key, &id, "deposit-1")),
            ("malformed id", fleet.deposit(0, &key, "nonsense", "deposit-2")),
            ("unknown service", fleet.get(0, "/nothing/7", &key)),
            ("dot segment", fleet.get(0, "/ledger-view/%2e%2e%5c/a", &key)),
        ];
        for (name, request) in steps.drain(..) {
            write_step(&mut transcript, &fleet, &binding, name, request.send().await?).await?;
        }
        let revoked = fleet.deployment.config.revoke_key("session", "revoke").await;
        let ChangeOutcome::Applied { version } = revoked else { anyhow::bail!("{revoked:?}") };
        fleet.wait_until_active(version).await?;
        let response = fleet.get(0, "/ledger-view/balances/7", &key).send().await?;
        write_step(&mut transcript, &fleet, &binding, "revoked key", response).await?;

        let mut declarations = fleet.deployment.declarations();
        declarations.services.iter_mut().for_each(|it| it.routes[0].path_prefix = "/a".to_owned());
        let version = fleet.deployment.apply(&declarations, "narrow").await?;
        fleet.wait_until_active(version).await?;
        let response = fleet.client.get(fleet.url(0, "/ledger-view/b")).send().await?;
        write_step(&mut transcript, &fleet, &binding, "unknown route", response).await?;
        expect_file!["./session.txt"].assert_eq(&transcript);
        Ok(())
    });
}

/// Appends a response to the transcript, with the parts that vary replaced.
async fn write_step(
    transcript: &mut String,
    fleet: &TestFleet,
    binding: &str,
    name: &str,
    response: Response,
) -> anyhow::Result<()> {
    let mut text = format!("## {name}\n{}\n", response.status());
    let mut headers: Vec<_> = response.headers().iter().collect();
    headers.sort_by_key(|it| it.0.as_str());
    for (name, value) in headers {
        let value = match name.as_str() {
            "date" => "(date)",
            // The length depends on the body, whose replaced parts vary in length.
            "content-length" => "(length)",
            _ => value.to_str()?,
        };
        writeln!(text, "{name}: {value}")?;
    }
    let body: Value = response.json().await?;
    writeln!(text, "\n{body:#}\n")?;
    text = text.replace(binding, "(binding)");
    for (index, host) in fleet.hosts.iter().flatten().enumerate() {
        text = text.replace(&host.caller.to_string(), &format!("(address {index})"));
    }
    for upstream in &fleet.deployment.upstreams {
        text = text.replace(&upstream.address().to_string(), "(upstream)");
    }
    transcript.push_str(&replace_varying_values(&text));
    Ok(())
}

/// Replaces the time left until the deadline, the id of the attempt and the binding of the other
/// host, which vary.
fn replace_varying_values(text: &str) -> String {
    let mut res = String::new();
    let mut placeholder = None;
    for line in text.lines() {
        let trimmed = line.trim_start();
        if let Some(it) = placeholder
            && trimmed.starts_with('"')
        {
            writeln!(res, "      \"{it}\"").expect("writing to a string succeeds");
        } else if trimmed.starts_with("\"binding\": \"entry-") {
            res.push_str("      \"binding\": \"(another binding)\",\n");
        } else {
            res.push_str(line);
            res.push('\n');
        }
        placeholder = match trimmed {
            "\"kingcupford-deadline-ms\"," => Some("(ms)"),
            "\"kingcupford-attempt-id\"," => Some("(id)"),
            _ => None,
        };
    }
    res
}
