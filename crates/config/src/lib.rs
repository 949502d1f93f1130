//! Declarations of operators, their checks, and the immutable snapshot that every decision uses.

mod arena;
mod check;
mod chunk;
mod declare;
mod key;
mod plan;
mod snapshot;

pub use crate::{
    arena::{
        Arena, HostId, InstanceId, Key, PresetId, RegionId, RouteId, ServiceId, ShiftId, SiteId,
        TenantId, VersionId, ZoneId,
    },
    check::{Fault, check},
    chunk::{Chunk, ChunkKind, ChunkRef, Head, MAX_CHUNK_BYTES, assemble, split},
    declare::{
        BlockDecl, Declarations, DrainDecl, DrainTarget, InstanceDecl, IsolationPolicy, KeyDecl,
        LinkDecl, LoadError, PresetDecl, RegionDecl, RegionLimitDecl, RouteDecl, ServiceDecl,
        ShiftDecl, SiteDecl, TenantDecl, VersionDecl, load_folder,
    },
    key::{CallerKey, KeyHash, KeyParseError},
    plan::{Change, ChangeKind, plan},
    snapshot::{
        ConfigVersion, Instance, Link, Preset, Region, RegionLimit, Route, Service, Shift, Site,
        Snapshot, StoredKey, Tenant, Version, Zone,
    },
};
