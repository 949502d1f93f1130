//! Helpers shared by the tests of this crate.

#![allow(dead_code)]

use std::sync::Arc;

use kingcupford_config::{CallerKey, Declarations, Head, KeyDecl};
use kingcupford_platform::{
    CallOutcome, ChangeRequest, ConfigStore, ConfigStoreSettings, HeadRead, HttpObjectStore,
    HttpStoreSettings, ObjectStore,
};
use kingcupford_standin::{PlatformSettings, PlatformStandin};

/// A small valid configuration.
const DECLARATIONS: &str = "
regions: [{name: north, zones: [north-1]}]
sites: [{name: s1, zone: north-1}, {name: s2, zone: north-1}]
blocks: [{cidr: 10.0.0.0/24, site: s1}, {cidr: 10.0.1.0/24, site: s1}]
services:
- name: ledger
  routes: [{path_prefix: /, timeout_ms: 1000}]
  versions: [{name: v1, instances: [{name: i1, site: s1, address: '127.0.0.1:1', slots: 2}]}]
  active_version: v1
tenants: [{name: koala, rate_per_s: 10, burst: 20}, {name: heron, rate_per_s: 10, burst: 20}]
presets: [{name: ordinary}, {name: peak}]
initial_preset: ordinary
";

pub(crate) async fn start_platform() -> PlatformStandin {
    start_platform_with(PlatformSettings::default()).await
}

pub(crate) async fn start_platform_with(settings: PlatformSettings) -> PlatformStandin {
    PlatformStandin::bind("127.0.0.1:0".parse().unwrap(), settings).await.unwrap()
}

pub(crate) fn object_store(platform: &PlatformStandin) -> HttpObjectStore {
    object_store_with_timeout(platform, 2000)
}

pub(crate) fn object_store_with_timeout(
    platform: &PlatformStandin,
    timeout_ms: u64,
) -> HttpObjectStore {
    let settings = HttpStoreSettings {
        read_timeout_ms: timeout_ms,
        write_timeout_ms: timeout_ms,
        watch_margin_ms: timeout_ms,
        ..HttpStoreSettings::new(&format!("http://{}", platform.address()))
    };
    HttpObjectStore::new(settings).unwrap()
}

pub(crate) fn config_store<S: ObjectStore>(store: S, seed: u64) -> ConfigStore<S> {
    let settings = ConfigStoreSettings { timeout_ms: 8000, ..ConfigStoreSettings::default() };
    ConfigStore::new(Arc::new(store), settings, seed)
}

pub(crate) fn declarations() -> Declarations {
    Declarations::from_yaml(DECLARATIONS).unwrap()
}

pub(crate) fn change_request(id: &str) -> ChangeRequest {
    let source_revision = format!("rev-{id}");
    ChangeRequest { id: id.to_owned(), source_revision, expected_version: None }
}

pub(crate) fn key(id: &str) -> KeyDecl {
    let sha256 = CallerKey::new(id, [7; 24]).hash();
    KeyDecl { id: id.to_owned(), team: "koala".to_owned(), sha256 }
}

pub(crate) async fn read_head<S: ObjectStore>(store: &ConfigStore<S>) -> Head {
    match store.read_head().await {
        CallOutcome::Value(HeadRead::Found(it)) => it.head,
        it => panic!("head cannot be read: {it:?}"),
    }
}
