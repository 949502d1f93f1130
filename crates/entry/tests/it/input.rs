//! Bad input from callers, peers and operators.

use std::{fs, process::Command, time::Duration};

use anyhow::{Context as _, ensure};
use expect_test::expect;
use kingcupford_demo::Certificates;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::support::{Fleet, raw_exchange, run, settings, settings_text, wait_until};

/// The only site with upstreams.
const SITE: &[&str] = &["fukuoka-a"];

/// Guards against heads that fill memory and against refusals of them without a reason.
#[test]
fn head_oversized() {
    run(async {
        let fleet = Fleet::start(settings(1, SITE, 16)).await?;
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
            // The host may answer and close before it has read everything.
            let _ = stream.write_all(head.as_bytes()).await;
            let mut answer = vec![0; 64];
            let read =
                tokio::time::timeout(Duration::from_secs(5), stream.read(&mut answer)).await?;
            let answer = String::from_utf8_lossy(&answer[..read.unwrap_or(0)]).into_owned();
            println!("{name}: {:?}", answer.lines().next());
            let is_refused =
                answer.starts_with("HTTP/1.1 431") || answer.starts_with("HTTP/1.1 414");
            // A reset replaces the answer when most of the head was not read.
            ensure!(is_refused || answer.is_empty() && head.len() > 1_000_000, "{name}: {answer}");
        }
        let started: u64 = fleet.deployment.upstreams.iter().map(|it| it.counts().started).sum();
        assert_eq!(started, 0);
        assert_eq!(fleet.client.get(fleet.url(0, "/ledger-view/open")).send().await?.status(), 200);
        Ok(())
    });
}

/// Guards against callers that hold connections with heads they never finish.
#[test]
fn head_sent_slowly() {
    run(async {
        let mut fleet = Fleet::prepare(settings(1, SITE, 16), |_| {}).await?;
        let mut patient = fleet.deployment.host_settings(0)?;
        patient.limits.idle_timeout_ms = 2_500;
        fleet.start_host_with(0, &patient)?;
        fleet.settle(1).await?;
        let mut stream = TcpStream::connect(fleet.host(0).caller).await?;
        let started = Instant::now();
        let mut answer = [0; 1];
        for byte in b"GET /ledger-view/open HTTP/1.1\r\nhost: x\r\n\r\n" {
            let _ = stream.write_all(&[*byte]).await;
            let second = Duration::from_secs(1);
            let ended = tokio::time::timeout(second, stream.read(&mut answer)).await;
            if ended.is_ok() {
                let time = started.elapsed();
                println!("closed after {time:?}");
                ensure!(time >= Duration::from_millis(2_400), "closed after {time:?}");
                ensure!(time < Duration::from_secs(8), "closed after {time:?}");
                return Ok(());
            }
        }
        anyhow::bail!("a head sent one byte a second was accepted")
    });
}

/// Guards against input that is no HTTP and that ends more than its own connection.
#[test]
fn garbage_instead_of_http() {
    run(async {
        let fleet = Fleet::start(settings(1, SITE, 16)).await?;
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
        for answer in futures_util::future::join_all(exchanges).await {
            let answer = answer.unwrap_or_default();
            ensure!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        // The ports for peers and operators get the same.
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

/// Guards against settings files that are accepted with a mistake, or whose mistakes come one at a
/// time.
#[test]
fn settings_mistakes() {
    let folder = std::env::temp_dir().join(format!("kingcupford-settings-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder is made");
    let check = |text: &str, flags: &[&str]| {
        let file = folder.join("settings.yaml");
        fs::write(&file, text).expect("the file is written");
        let program = env!("CARGO_BIN_EXE_kingcupford-entry");
        let output = Command::new(program).arg("--settings").arg(&file).args(flags).output();
        let output = output.expect("the process runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        let text = text.replace(&file.display().to_string(), "FILE");
        format!("{:?}\n{text}", output.status.code())
    };
    let mistakes = "name: entry 1\nlisten: nowhere\npublic_addresses: [here]\n\
                    admin_listen: 127.0.0.1:99999\npeer_listen: 127.0.0.1:1\n\
                    platform_url: ftp://x\nseeds: [{name: a}]\nlimits: {max_head_bytes: 1}\n\
                    drain_notice_ms: 70000\nshutdown_deadline_ms: -1\nlog_level: loud\n\
                    tls: {certificate_file: a}\nunknown: 1\n";
    let faults = check(mistakes, &[]);
    assert_eq!(faults, check(mistakes, &["--check"]));
    let all = [check("", &[]), check("a: [", &[]), check("- a", &[]), faults].join("---\n");
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
    "#]].assert_eq(&all);
}

/// Guards against a host with a certificate of another CA that takes part, or that disturbs the
/// hosts which refuse it.
#[test]
fn peer_of_other_ca() {
    run(async {
        let mut fleet = Fleet::start(settings(3, SITE, 16)).await?;
        let key = fleet.key("k", "school-1").await?;
        fleet.hosts[2].take().expect("it runs").kill();
        let other = Certificates::new(&fleet.deployment.folder().join("other"))?;
        let mut foreign = fleet.deployment.host_settings(2)?;
        let own_ca = foreign.peer_tls.ca_file.clone();
        foreign.peer_tls = other.issue(&foreign.name)?;
        foreign.peer_tls.ca_file = own_ca;
        assert!(!settings_text(&foreign).is_empty());
        fleet.start_host_with(2, &foreign)?;
        wait_until("the others refuse it", Duration::from_secs(20), || async {
            (0..2).all(|at| fleet.host(at).log().contains("PeerRefused"))
        })
        .await?;
        sleep(Duration::from_secs(3)).await;
        for at in 0..2 {
            let status = fleet.status(fleet.host(at)).await?;
            let members = status["members"].as_array().context("no members")?;
            let state = members.iter().find(|it| it[0] == "entry-3").map(|it| it[2].clone());
            ensure!(state.as_ref().is_none_or(|it| it != "live"), "host {at} sees it as {state:?}");
            let read = fleet.get(at, "/ledger-view/a", &key).send().await?;
            ensure!(read.status() == 200, "host {at}: {}", read.status());
        }
        Ok(())
    });
}
