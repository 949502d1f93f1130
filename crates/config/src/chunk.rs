//! Stored form of a configuration: one head object and immutable, content-addressed chunks.

use anyhow::{Context as _, bail, ensure};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, EnumString};
use xxhash_rust::xxh3::xxh3_64;

use crate::declare::{BlockDecl, Declarations};

/// Maximum size of a chunk, well below the platform's limit of 1 MB per value.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// A chunk of client blocks ends after a block whose address hash is a multiple of this divisor.
///
/// Boundaries that depend on content alone let a changed block replace only one or two chunks. The
/// average chunk has 1024 blocks, about 40 KB.
const BLOCK_BOUNDARY_DIVISOR: u64 = 1024;

/// Maximum number of client blocks in a chunk, which bounds its size where no boundary occurs.
const MAX_CHUNK_BLOCKS: usize = 4096;

/// Head object of the store, which refers to all chunks of one configuration version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version number, which only increases.
    pub version: u64,
    /// Random identifier of the change, from which a writer learns whether its write took effect.
    pub change_id: String,
    /// Revision of the declarations in the operators' version control.
    pub source_revision: String,
    /// Name of the active preset.
    pub active_preset: String,
    /// References to the chunks, in the order in which they are merged.
    pub chunks: Vec<ChunkRef>,
}

/// Reference to a chunk by the hash of its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRef {
    /// Kind of the declarations in the chunk.
    pub kind: ChunkKind,
    /// SHA-256 of the chunk's bytes in hexadecimal.
    pub sha256: String,
}

/// Kind of the declarations in a chunk; every chunk contains only one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChunkKind {
    /// Regions, links between regions, and sites.
    Topology,
    /// Client networks with their nearest sites.
    Blocks,
    /// One service with its routes, versions and instances.
    Services,
    /// Teams with their rate limits.
    #[serde(rename = "tenants")]
    #[strum(serialize = "tenants")]
    Teams,
    /// Issued keys, stored as hashes.
    Keys,
    /// Presets and the name of the initial preset.
    Presets,
}

/// A chunk: a subset of the declarations in encoded form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Reference by which a head names the chunk.
    pub reference: ChunkRef,
    /// JSON encoding of the subset as [`Declarations`].
    pub bytes: Vec<u8>,
}

impl Chunk {
    fn encode(kind: ChunkKind, declarations: &Declarations) -> anyhow::Result<Self> {
        let bytes = serde_json::to_vec(declarations)?;
        ensure!(
            bytes.len() <= MAX_CHUNK_BYTES,
            "chunk of {kind} has {} bytes, more than the limit of {MAX_CHUNK_BYTES} \
             (hint: shorten names or remove unused entries)",
            bytes.len(),
        );
        Ok(Self { reference: ChunkRef { kind, sha256: sha256_hex(&bytes) }, bytes })
    }

    /// Returns whether `bytes` have the hash that `reference` names.
    pub fn verify(reference: &ChunkRef, bytes: &[u8]) -> bool {
        sha256_hex(bytes) == reference.sha256
    }
}

/// Sorts a copy of the declarations and splits it into chunks, in the order for a head.
///
/// Fails when a chunk would exceed [`MAX_CHUNK_BYTES`].
pub fn split_into_chunks(declarations: &Declarations) -> anyhow::Result<Vec<Chunk>> {
    let mut sorted = declarations.clone();
    sorted.sort();
    let topology = Declarations {
        regions: sorted.regions,
        links: sorted.links,
        sites: sorted.sites,
        ..Declarations::default()
    };
    let mut chunks = vec![Chunk::encode(ChunkKind::Topology, &topology)?];
    for blocks in split_blocks(&sorted.blocks) {
        let subset = Declarations { blocks: blocks.to_vec(), ..Declarations::default() };
        chunks.push(Chunk::encode(ChunkKind::Blocks, &subset)?);
    }
    for service in sorted.services {
        let subset = Declarations { services: vec![service], ..Declarations::default() };
        chunks.push(Chunk::encode(ChunkKind::Services, &subset)?);
    }
    for teams in sorted.teams.chunks(1024) {
        let subset = Declarations { teams: teams.to_vec(), ..Declarations::default() };
        chunks.push(Chunk::encode(ChunkKind::Teams, &subset)?);
    }
    for keys in sorted.keys.chunks(1024) {
        let subset = Declarations { keys: keys.to_vec(), ..Declarations::default() };
        chunks.push(Chunk::encode(ChunkKind::Keys, &subset)?);
    }
    let presets = Declarations {
        presets: sorted.presets,
        initial_preset: sorted.initial_preset,
        ..Declarations::default()
    };
    chunks.push(Chunk::encode(ChunkKind::Presets, &presets)?);
    Ok(chunks)
}

/// Merges the chunks of a head into declarations; `fetch` returns the bytes of a chunk.
///
/// Fails when a chunk is missing, does not match its hash or cannot be decoded.
pub fn assemble_chunks<'a>(
    head: &Head,
    mut fetch: impl FnMut(&ChunkRef) -> Option<&'a [u8]>,
) -> anyhow::Result<Declarations> {
    let mut merged = Declarations::default();
    for reference in &head.chunks {
        let Some(bytes) = fetch(reference) else { bail!("chunk {} is missing", reference.sha256) };
        ensure!(
            Chunk::verify(reference, bytes),
            "chunk {} does not match its hash",
            reference.sha256
        );
        let declarations: Declarations = serde_json::from_slice(bytes).with_context(|| {
            format!("cannot decode chunk {} of kind {}", reference.sha256, reference.kind)
        })?;
        merged.merge(declarations);
    }
    Ok(merged)
}

/// Splits blocks by content-defined chunking: whether a chunk ends after a block depends on that
/// block's hash alone, except at the maximum number of blocks.
fn split_blocks(blocks: &[BlockDecl]) -> Vec<&[BlockDecl]> {
    let mut groups = Vec::new();
    let mut start = 0;
    for (index, block) in blocks.iter().enumerate() {
        let hash = xxh3_64(block.cidr.to_string().as_bytes());
        let is_boundary = hash.is_multiple_of(BLOCK_BOUNDARY_DIVISOR);
        if is_boundary || index + 1 - start == MAX_CHUNK_BLOCKS {
            groups.push(&blocks[start..=index]);
            start = index + 1;
        }
    }
    if start < blocks.len() {
        groups.push(&blocks[start..]);
    }
    groups
}

fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|it| format!("{it:02x}")).collect()
}
