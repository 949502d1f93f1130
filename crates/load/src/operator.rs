//! Simulated operators: configurations, keys, presets, drains and rollouts.

use kingcupford_config::{
    CallerKey, Declarations, DrainDecl, Head, KeyDecl, PresetDecl, split_into_chunks,
};
use kingcupford_rollout::{Rollout, StartRequest};
use kingcupford_scenario::DrainScope;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use crate::world::World;

const KEYS_PER_TEAM: usize = 2;

/// Current declarations of the operators.
#[derive(Debug)]
pub(crate) struct Operator {
    /// Declarations of the deployment with the issued keys.
    declarations: Declarations,
    preset: String,
    /// Version of the newest configuration.
    pub(crate) config_version: u64,
    /// Issued keys by team index.
    keys: Vec<Vec<CallerKey>>,
    /// Preset before a switch, with the index of the fault that switched it.
    previous_presets: Vec<(usize, String)>,
}

impl Operator {
    /// Issues keys to the teams of a deployment; fails if it declares no preset.
    pub(crate) fn new(declarations: &Declarations, seed: u64) -> anyhow::Result<Self> {
        let mut declarations = declarations.clone();
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x6e75);
        let preset = declarations.initial_preset.clone().or_else(|| {
            let first = declarations.presets.first()?;
            Some(first.name.clone())
        });
        let mut keys = Vec::new();
        for team in &declarations.teams {
            let issue =
                |index: usize| CallerKey::new(&format!("{}-{}", team.name, index), rng.random());
            let issued: Vec<CallerKey> = (0..KEYS_PER_TEAM).map(issue).collect();
            declarations.keys.extend(issued.iter().map(|it| KeyDecl {
                id: it.id().to_owned(),
                team: team.name.clone(),
                sha256: it.hash(),
            }));
            keys.push(issued);
        }
        declarations.sort();
        let preset = preset.ok_or_else(|| anyhow::anyhow!("no preset is declared"))?;
        Ok(Self { declarations, preset, config_version: 0, keys, previous_presets: Vec::new() })
    }

    /// Returns the current declarations.
    pub(crate) fn declarations(&self) -> &Declarations {
        &self.declarations
    }

    /// Returns the name of the active preset.
    pub(crate) fn preset(&self) -> &str {
        &self.preset
    }

    /// Returns a key of a team by its index, below `KEYS_PER_TEAM`.
    pub(crate) fn key(&self, team: usize, key_index: usize) -> &CallerKey {
        &self.keys[team][key_index]
    }

    /// Returns the declaration of the active preset.
    fn active_preset_mut(&mut self) -> Option<&mut PresetDecl> {
        let name = &self.preset;
        self.declarations.presets.iter_mut().find(|it| it.name == *name)
    }
}

impl World {
    /// Writes the initial configuration to the platform.
    pub(crate) fn write_initial_config(&mut self) {
        self.write_config();
    }

    /// Writes the current declarations to the platform as a new version.
    fn write_config(&mut self) {
        let chunks = match split_into_chunks(&self.operator.declarations) {
            Ok(it) => it,
            Err(error) => {
                unreachable!("validated declarations cannot be split into chunks: {error:#}")
            }
        };
        for chunk in &chunks {
            let name = format!("chunk/{}", chunk.reference.sha256);
            self.platform.write(&name, &chunk.bytes, None);
        }
        self.operator.config_version += 1;
        let head = Head {
            version: self.operator.config_version,
            change_id: format!("change-{}", self.operator.config_version),
            source_revision: "scenario".to_owned(),
            active_preset: self.operator.preset.clone(),
            chunks: chunks.into_iter().map(|it| it.reference).collect(),
        };
        let bytes = serde_json::to_vec(&head).unwrap_or_default();
        let current = self.platform.object("config/head").map(|it| it.version);
        self.platform.write("config/head", &bytes, current);
        for host in &mut self.hosts {
            host.outdated_since_us = None;
        }
        self.wake_watches();
    }

    /// Revokes the first key of a team.
    pub(crate) fn revoke_key(&mut self, team: &str) {
        let id = format!("{team}-0");
        self.operator.declarations.keys.retain(|it| it.id != id);
        self.write_config();
        let now_us = self.clock.now_us();
        if let Some(team) = self.snapshot.teams.id(team) {
            self.observer.record_revocation(usize::from(team.0), now_us);
        }
    }

    /// Adds a drain to the active preset, or removes it.
    pub(crate) fn set_drain(&mut self, scope: &DrainScope, is_active: bool) {
        let drain = DrainDecl { target: scope.kind, name: scope.name.clone() };
        if let Some(preset) = self.operator.active_preset_mut() {
            preset.drains.retain(|it| *it != drain);
            if is_active {
                preset.drains.push(drain);
            }
        }
        self.write_config();
        self.update_drains();
    }

    /// Switches to a preset, or back to the one before the switch of the fault if `name` is `None`.
    pub(crate) fn set_preset(&mut self, fault: usize, name: Option<&str>) {
        let next_preset = match name {
            Some(name) => {
                let previous = self.operator.preset.clone();
                self.operator.previous_presets.push((fault, previous));
                name.to_owned()
            }
            None => {
                let at = self.operator.previous_presets.iter().position(|it| it.0 == fault);
                let Some(at) = at else { return };
                self.operator.previous_presets.remove(at).1
            }
        };
        self.operator.preset = next_preset;
        self.write_config();
        self.update_drains();
    }

    /// Starts a rollout with a deadline in seconds from now.
    pub(crate) fn start_rollout(&mut self, service: &str, to: &str, deadline_s: f64) {
        let Some(service_id) = self.snapshot.services.id(service) else { return };
        let active = self.snapshot.services[service_id].active_version;
        let name = format!("rollout/{service}");
        let object = self.platform.object(&name).cloned();
        let current: Option<Rollout> =
            object.as_ref().and_then(|it| serde_json::from_slice(&it.bytes).ok());
        let now_unix_ms = self.clock.unix_ms();
        let request = StartRequest {
            service: service.to_owned(),
            from: self.snapshot.versions[active].name.clone(),
            to: to.to_owned(),
            now_unix_ms,
            deadline_unix_ms: now_unix_ms + (deadline_s * 1000.0) as u64,
            write_id: self.seed ^ self.clock.now_us(),
        };
        if let Ok(rollout) = kingcupford_rollout::start(current.as_ref(), &request) {
            let bytes = serde_json::to_vec(&rollout).unwrap_or_default();
            self.platform.write(&name, &bytes, object.map(|it| it.version));
            self.wake_watches();
        }
    }

    /// Returns the index of a service's version.
    pub(crate) fn version_index(&self, service: &str, version: &str) -> Option<usize> {
        let version_id = self.snapshot.versions.id(&format!("{service}/{version}"))?;
        Some(version_id.0 as usize)
    }
}
