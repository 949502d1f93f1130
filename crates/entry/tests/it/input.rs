//! Malformed or malicious input from callers, peers and operators.

use std::{fs, process::Command, time::Duration};

use anyhow::{Context as _, ensure};
use expect_test::expect;
use kingcupford_demo::CertificateAuthority;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::support::{TestFleet, raw_exchange, run_test, settings, settings_text, wait_until};

/// The only site that has upstreams.
const SITE: &[&str] = &["fukuoka-a"];

/// Guards against request heads that fill memory, and against heads that are rejected without a
/// status that names the reason.
#[test]
fn head_oversized() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, SITE, 16)).await?;
        let address = fleet.host(0).caller;
        let start = "GET /ledger-view/open HTTP/1.1\r\nhost: x\r\n";
        let many: String = (0..500).map(|it| format!("x-{it}: 1\r\n")).collect();
        for (name, head) in [
            ("40 KB header", format!("{start}x-large: {}\r\n\r\n", "x".repeat(40_000))),
            ("2 MB header", format!("{start}x-large: {}\r\n\r\n", "x".repeat(2_000_000))),
            ("500 headers", format!("{start}{many}\r\n")),
            (
                "40 KB path",
                format!("GET /ledger-view/open/{} HTTP/1.1\r\nhost: x\r\n\r\n", "x".repeat(40_000)),
            ),
            (
                "100 KB path",
                format!(
                    "GET /ledger-view/open/{} HTTP/1.1\r\nhost: x\r\n\r\n",
                    "x".repeat(100_000)
                ),
            ),
            (
                "40 KB query",
                format!("GET /ledger-view/open?{} HTTP/1.1\r\nhost: x\r\n\r\n", "x".repeat(40_000)),
            ),
        ] {
            let mut stream = TcpStream::connect(address).await?;
            // The host may respond and close before it has read the whole head.
            let _ = stream.write_all(head.as_bytes()).await;
            let mut response = vec![0; 64];
            let read =
                tokio::time::timeout(Duration::from_secs(5), stream.read(&mut response)).await?;
            let response = String::from_utf8_lossy(&response[..read.unwrap_or(0)]).into_owned();
            println!("{name}: {:?}", response.lines().next());
            let is_refused =
                response.starts_with("HTTP/1.1 431") || response.starts_with("HTTP/1.1 414");
            // A reset discards the response if most of the head was not read.
            ensure!(
                is_refused || response.is_empty() && head.len() > 1_000_000,
                "{name}: {response}"
            );
        }
        let started: u64 = fleet.deployment.upstreams.iter().map(|it| it.counts().started).sum();
        assert_eq!(started, 0);
        assert_eq!(fleet.client.get(fleet.url(0, "/ledger-view/open")).send().await?.status(), 200);
        Ok(())
    });
}

/// Guards against callers that hold connections open with heads that they never complete.
#[test]
fn head_sent_slowly() {
    run_test(async {
        let mut fleet = TestFleet::prepare(settings(1, SITE, 16), |_| {}).await?;
        let mut long_timeout = fleet.deployment.host_settings(0)?;
        long_timeout.limits.idle_timeout_ms = 2_500;
        fleet.start_host_with(0, &long_timeout)?;
        fleet.wait_until_settled(1).await?;
        let mut stream = TcpStream::connect(fleet.host(0).caller).await?;
        let started = Instant::now();
        let mut response = [0; 1];
        for byte in b"GET /ledger-view/open HTTP/1.1\r\nhost: x\r\n\r\n" {
            let _ = stream.write_all(&[*byte]).await;
            let second = Duration::from_secs(1);
            let ended = tokio::time::timeout(second, stream.read(&mut response)).await;
            if ended.is_ok() {
                let time = started.elapsed();
                println!("closed after {time:?}");
                ensure!(time >= Duration::from_millis(2_400), "closed after {time:?}");
                ensure!(time < Duration::from_secs(8), "closed after {time:?}");
                return Ok(());
            }
        }
        anyhow::bail!("a head sent at one byte per second was not rejected")
    });
}

/// Guards against input that is not HTTP and disturbs more than the connection on which it arrives.
#[test]
fn non_http_input() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, SITE, 16)).await?;
        let host = fleet.host(0);
        let tls_hello = [0x16, 3, 1, 0, 200, 1, 0, 0, 196, 3, 3];
        let noise: Vec<u8> =
            (0..5000_u32).map(|it| (it.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
        let inputs: [&[u8]; 6] = [
            &tls_hello,
            &noise,
            b"\0\0\0\0\0\0\0\0\r\n\r\n",
            b"GET\r\n\r\n",
            b"GET /ledger-view/open HTTP/9.9\r\n\r\n",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff",
        ];
        let exchanges = inputs.iter().map(|it| raw_exchange(host.caller, it));
        for response in futures_util::future::join_all(exchanges).await {
            let response = response.unwrap_or_default();
            ensure!(!response.starts_with("HTTP/1.1 200"), "{response}");
        }
        // The ports for peers and operators get the same input.
        let peer = fleet.deployment.host_settings(0)?.peer_listen;
        for address in [peer, host.admin] {
            let exchanges = inputs.iter().map(|it| raw_exchange(address, it));
            futures_util::future::join_all(exchanges).await;
        }
        assert_eq!(fleet.client.get(fleet.url(0, "/ledger-view/open")).send().await?.status(), 200);
        assert_eq!(fleet.status(host).await?["config_version"], 1);
        Ok(())
    });
}

/// Guards against settings files with errors that are accepted, and against errors that are
/// reported only one at a time.
#[test]
fn settings_errors() {
    let folder = std::env::temp_dir().join(format!("kingcupford-settings-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder is created");
    let check = |text: &str, flags: &[&str]| {
        let file = folder.join("settings.yaml");
        fs::write(&file, text).expect("the file is written");
        let program = env!("CARGO_BIN_EXE_kingcupford-entry");
        let output = Command::new(program).arg("--settings").arg(&file).args(flags).output();
        let output = output.expect("the process starts");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let text = text.replace(&file.display().to_string(), "FILE");
        format!("{:?}\n{text}", output.status.code())
    };
    let invalid = "name: entry 1\nlisten: nowhere\npublic_addresses: [here]\n\
                    admin_listen: 127.0.0.1:99999\npeer_listen: 127.0.0.1:1\n\
                    platform_url: ftp://x\nseeds: [{name: a}]\nlimits: {max_head_bytes: 1}\n\
                    drain_notice_ms: 70000\nshutdown_deadline_ms: -1\nlog_level: loud\n\
                    tls: {certificate_file: a}\nunknown: 1\n";
    let all_errors = check(invalid, &[]);
    assert_eq!(all_errors, check(invalid, &["--check"]));
    let outputs = [check("", &[]), check("a: [", &[]), check("- a", &[]), all_errors].join("---\n");
    fs::remove_dir_all(&folder).expect("the folder is removed");
    expect![[r#"
        Some(2)
        FILE: file: is not a mapping (hint: write `name: value` lines)
        ---
        Some(2)
        FILE: file: did not find expected node content at line 2 column 1, while parsing a flow node (hint: correct the YAML syntax)
        ---
        Some(2)
        FILE: file: is not a mapping (hint: write `name: value` lines)
        ---
        Some(2)
        FILE: zone: is missing (hint: docs/settings.md lists every field)
        FILE: listen: `nowhere` is not an address (hint: write IP:PORT or [IPv6]:PORT)
        FILE: admin_listen: `127.0.0.1:99999` is not an address (hint: write IP:PORT or [IPv6]:PORT)
        FILE: peer_address: is missing (hint: docs/settings.md lists every field)
        FILE: seeds: missing field `zone` (hint: docs/settings.md gives its form)
        FILE: tls: missing field `key_file` (hint: docs/settings.md gives its form)
        FILE: shutdown_deadline_ms: invalid value: integer `-1`, expected u64 (hint: docs/settings.md gives its form)
        FILE: name: is not a host name (hint: use letters, digits and `-`)
        FILE: public_addresses: `here` is not an address (hint: write IP:PORT or [IPv6]:PORT)
        FILE: platform_url: is not a URL (hint: write http://IP:PORT)
        FILE: peer_tls.certificate_file: is missing (hint: peers are trusted by certificate only)
        FILE: peer_tls.key_file: is missing (hint: peers are trusted by certificate only)
        FILE: peer_tls.ca_file: is missing (hint: peers are trusted by certificate only)
        FILE: drain_notice_ms: leaves no time for running requests (hint: use less than `shutdown_deadline_ms`; 12000 covers cached lookup answers)
        FILE: log_level: is not a level (hint: use error, warn, info, debug or trace)
        FILE: limits.max_head_bytes: is out of range (hint: use bytes from 4096 to 1048576)
        FILE: unknown: is not a known field (hint: known fields: name, zone, listen, public_addresses, admin_listen, peer_listen, peer_address, platform_url, seeds, tls, peer_tls, limits, drain_notice_ms, shutdown_deadline_ms, log_level)
    "#]].assert_eq(&outputs);
}

/// Guards against a host with a certificate of another CA that joins the membership, or that
/// disturbs the hosts which reject its connections.
#[test]
fn peer_of_other_ca() {
    run_test(async {
        let mut fleet = TestFleet::start(settings(3, SITE, 16)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        fleet.hosts[2].take().expect("the host is running").kill();
        let other_ca = CertificateAuthority::new(&fleet.deployment.folder().join("other"))?;
        let mut foreign = fleet.deployment.host_settings(2)?;
        let deployment_ca = foreign.peer_tls.ca_file.clone();
        foreign.peer_tls = other_ca.issue(&foreign.name)?;
        foreign.peer_tls.ca_file = deployment_ca;
        assert!(!settings_text(&foreign).is_empty());
        fleet.start_host_with(2, &foreign)?;
        wait_until("the other hosts reject the connections", Duration::from_secs(20), || async {
            (0..2).all(|index| fleet.host(index).log().contains("PeerRefused"))
        })
        .await?;
        sleep(Duration::from_secs(3)).await;
        for index in 0..2 {
            let status = fleet.status(fleet.host(index)).await?;
            let members = status["members"].as_array().context("no members")?;
            let state = members.iter().find(|it| it[0] == "entry-3").map(|it| it[2].clone());
            ensure!(
                state.as_ref().is_none_or(|it| it != "live"),
                "host {index} sees entry-3 as {state:?}"
            );
            let read = fleet.get(index, "/ledger-view/a", &key).send().await?;
            ensure!(read.status() == 200, "host {index}: {}", read.status());
        }
        Ok(())
    });
}
