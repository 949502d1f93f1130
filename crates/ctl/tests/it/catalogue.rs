//! Pages that must list everything that the code defines.

use std::{fs, path::Path};

use kingcupford_telemetry::Event;
use strum::IntoEnumIterator as _;

/// A page of the documentation.
fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Guards against events that operators meet in logs and cannot look up.
#[test]
fn events_page_lists_every_event() {
    let page = page("events.md");
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

/// Guards against refusals that callers meet and cannot look up.
#[test]
fn http_page_lists_every_reason() {
    let page = page("http.md");
    for reason in kingcupford_engine::RefusalReason::iter() {
        let name: &'static str = reason.into();
        let start = format!("| `{name}` |");
        assert!(page.contains(&start), "docs/http.md has no row `{start}`");
    }
}

/// Guards against exit codes that the help and the page tell differently.
#[test]
fn operating_page_lists_every_exit() {
    let page = page("operating.md");
    for code in 0..=8 {
        assert!(page.contains(&format!("| {code} | ")), "docs/operating.md lacks exit {code}");
    }
}

/// Guards against shipped settings that the entry host refuses.
#[test]
fn sample_settings_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for name in ["entry-settings-hinokuni.yaml", "entry-settings-huskfutter.yaml"] {
        let settings = kingcupford_entry::Settings::load(&folder.join(name));
        assert!(settings.is_ok(), "{name}: {:?}", settings.err());
    }
}

/// Guards against a service manager that kills a host before its own deadline for requests.
#[test]
fn unit_waits_longer_than_the_shutdown() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let unit = fs::read_to_string(folder.join("kingcupford-entry.service")).unwrap();
    let line = unit.lines().find_map(|it| it.strip_prefix("TimeoutStopSec=")).unwrap();
    let unit_ms = line.parse::<u64>().unwrap() * 1000;
    for name in ["entry-settings-hinokuni.yaml", "entry-settings-huskfutter.yaml"] {
        let settings = kingcupford_entry::Settings::load(&folder.join(name)).unwrap();
        // The host needs a moment beyond the deadline to hand back its share and end its tasks.
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
        let page = page(name);
        // Faults of settings are not settings.
        let text = text.split("/// One fault").next().unwrap();
        let fields = text.lines().filter_map(|it| it.strip_prefix("    pub ")?.split_once(": "));
        let fields: Vec<_> = fields.map(|it| it.0).filter(|it| !it.contains(' ')).collect();
        assert!(fields.len() > 10, "{source} has only {fields:?}");
        for field in fields {
            // Keys are never declared in folders.
            if !matches!(field, "keys" | "id" | "tenant" | "sha256") {
                assert!(page.contains(field), "docs/{name} lacks `{field}` of {source}");
            }
        }
    }
}
