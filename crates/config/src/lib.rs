//! Configuration of the fleet.
//!
//! Operators write [`Declarations`] in YAML. [`validate`] checks them, [`split_into_chunks`] turns
//! them into the stored form, and [`Snapshot::compile`] builds the immutable snapshot that every
//! routing and admission decision reads.

mod arena;
mod chunk;
mod declare;
mod diff;
mod key;
mod snapshot;
mod validate;

pub use crate::{
    arena::{
        Arena, ArenaId, HostId, InstanceId, PresetId, RegionId, RouteId, ServiceId, ShiftId,
        SiteId, TeamId, VersionId, ZoneId,
    },
    chunk::{
        Chunk, ChunkKind, ChunkRef, Head, MAX_CHUNK_BYTES, assemble_chunks, split_into_chunks,
    },
    declare::{
        BlockDecl, Declarations, DrainDecl, DrainTarget, InstanceDecl, IsolationPolicy, KeyDecl,
        LinkDecl, LoadError, PresetDecl, RegionDecl, RegionLimitDecl, RouteDecl, ServiceDecl,
        ShiftDecl, SiteDecl, TeamDecl, VersionDecl, load_folder,
    },
    diff::{Change, ChangeKind, diff},
    key::{CallerKey, KeyHash, KeyParseError},
    snapshot::{
        ConfigVersion, Instance, Link, Preset, Region, RegionLimit, Route, Service, Shift, Site,
        Snapshot, StoredKey, Team, Version, Zone,
    },
    validate::{ValidationError, validate},
};
