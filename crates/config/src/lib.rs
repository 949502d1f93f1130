//! Declarations of operators, their checks, and the immutable snapshot that every decision uses.

mod arena;
mod validate;
mod chunk;
mod declare;
mod key;
mod diff;
mod snapshot;

pub use crate::{
    arena::{
        Arena, ArenaId, HostId, InstanceId, PresetId, RegionId, RouteId, ServiceId, ShiftId,
        SiteId, TenantId, VersionId, ZoneId,
    },
    chunk::{
        Chunk, ChunkKind, ChunkRef, Head, MAX_CHUNK_BYTES, assemble_chunks, split_into_chunks,
    },
    declare::{
        BlockDecl, Declarations, DrainDecl, DrainTarget, InstanceDecl, IsolationPolicy, KeyDecl,
        LinkDecl, LoadError, PresetDecl, RegionDecl, RegionLimitDecl, RouteDecl, ServiceDecl,
        ShiftDecl, SiteDecl, TenantDecl, VersionDecl, load_folder,
    },
    diff::{Change, ChangeKind, diff},
    key::{CallerKey, KeyHash, KeyParseError},
    snapshot::{
        ConfigVersion, Instance, Link, Preset, Region, RegionLimit, Route, Service, Shift, Site,
        Snapshot, StoredKey, Tenant, Version, Zone,
    },
    validate::{ValidationError, validate},
};
