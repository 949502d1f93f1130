//! Checks of documentation pages and shipped deployment files against the code.

use std::{fs, path::Path};

use kingcupford_telemetry::Event;
use strum::IntoEnumIterator as _;

fn read_page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Guards against log events that operators cannot look up.
#[test]
fn events_page_lists_every_event() {
    let page = read_page("events.md");
    for event in Event::iter() {
        let name: &'static str = event.into();
        let level = event.level().to_string().to_lowercase();
        let start = format!("| {} | {name} | {level} |", event.code());
        assert!(page.contains(&start), "docs/events.md has no row `{start}`");
    }
    let rows =
        page.lines().filter(|it| it.starts_with("| ") && it[2..].starts_with(char::is_numeric));
    assert_eq!(rows.count(), Event::iter().count(), "docs/events.md lists an event twice or more");
}

/// Guards against refusal reasons that callers cannot look up.
#[test]
fn http_page_lists_every_reason() {
    let page = read_page("http.md");
    for reason in kingcupford_engine::RefusalReason::iter() {
        let name: &'static str = reason.into();
        let start = format!("| `{name}` |");
        assert!(page.contains(&start), "docs/http.md has no row `{start}`");
    }
}

/// Guards against exit codes that are missing on the page for operators.
#[test]
fn operating_page_lists_every_exit_code() {
    let page = read_page("operating.md");
    for code in 0..=8 {
        assert!(page.contains(&format!("| {code} | ")), "docs/operating.md lacks exit {code}");
    }
}

/// Guards against shipped settings files that the entry host rejects.
#[test]
fn sample_settings_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for name in ["entry-settings-hinokuni.yaml", "entry-settings-huskfutter.yaml"] {
        let settings = kingcupford_entry::Settings::load(&folder.join(name));
        assert!(settings.is_ok(), "{name}: {:?}", settings.err());
    }
}

/// Guards against a service manager that kills a host before the host's own shutdown deadline.
#[test]
fn service_unit_stop_timeout_exceeds_shutdown_deadline() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let unit = fs::read_to_string(folder.join("kingcupford-entry.service")).unwrap();
    let line = unit.lines().find_map(|it| it.strip_prefix("TimeoutStopSec=")).unwrap();
    let unit_ms = line.parse::<u64>().unwrap() * 1000;
    for name in ["entry-settings-hinokuni.yaml", "entry-settings-huskfutter.yaml"] {
        let settings = kingcupford_entry::Settings::load(&folder.join(name)).unwrap();
        // After the deadline the host still has to release its share and end its tasks.
        assert!(unit_ms >= settings.shutdown_deadline_ms + 10_000, "{name}");
    }
}

/// Guards against fields of declarations and settings that operators cannot look up.
#[test]
fn pages_list_every_field() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for (source, name) in
        [("config/src/declare.rs", "configuration.md"), ("entry/src/settings.rs", "settings.md")]
    {
        let text = fs::read_to_string(crates.join(source)).unwrap();
        let page = read_page(name);
        // The fields of the error type are not settings.
        let text = text.split("pub struct SettingsError").next().unwrap();
        let mut rename = None;
        let mut fields = Vec::new();
        for line in text.lines() {
            let own_name = line.strip_prefix("    pub ").and_then(|it| it.split_once(": "));
            if let Some(it) = line.trim().strip_prefix("#[serde(rename = \"") {
                rename = it.split_once('"').map(|it| it.0);
            } else if let Some((own_name, _)) = own_name.filter(|it| !it.0.contains(' ')) {
                // Pages use the outer name.
                fields.push(rename.take().unwrap_or(own_name));
            }
        }
        assert!(fields.len() > 10, "{source} has only {fields:?}");
        for field in fields {
            // Keys are not declared in folders.
            if !matches!(field, "keys" | "id" | "tenant" | "sha256") {
                assert!(page.contains(field), "docs/{name} lacks `{field}` of {source}");
            }
        }
    }
}
