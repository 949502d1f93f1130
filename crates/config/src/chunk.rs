//! The stored form of a configuration: one head object and immutable, content-addressed chunks.

use anyhow::{Context as _, bail, ensure};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, EnumString};
use xxhash_rust::xxh3::xxh3_64;

use crate::declare::{BlockDecl, Declarations};

/// Largest chunk, well below the platform's limit of one megabyte for a value.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// A chunk of blocks ends behind a block whose address hash is a multiple of this, about 40 KB on
/// average, so that a change replaces one or two chunks.
const BLOCK_BOUNDARY: u64 = 1024;

/// Most blocks in one chunk.
const MAX_CHUNK_BLOCKS: usize = 4096;

/// The object that names a whole configuration version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version number, only ever raised.
    pub version: u64,
    /// Random identifier of the change, by which a writer finds out whether its write took effect.
    pub change_id: String,
    /// Revision of the declarations in version control.
    pub source_revision: String,
    /// Name of the active preset.
    pub active_preset: String,
    /// The chunks, in the order in which they are merged.
    pub chunks: Vec<ChunkRef>,
}

/// Names a chunk by its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRef {
    /// What the chunk declares.
    pub kind: ChunkKind,
    /// SHA-256 of the bytes in hexadecimal.
    pub sha256: String,
}

/// Kinds of declarations that stand in chunks of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChunkKind {
    /// Regions, links and sites.
    Topology,
    /// Client blocks.
    Blocks,
    /// Services.
    Services,
    /// Tenants.
    Tenants,
    /// Keys.
    Keys,
    /// Presets.
    Presets,
}

/// A chunk with its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The name by content.
    pub reference: ChunkRef,
    /// JSON of the declared part.
    pub bytes: Vec<u8>,
}

impl Chunk {
    /// Encodes a part of declarations.
    fn new(kind: ChunkKind, part: &Declarations) -> anyhow::Result<Self> {
        let bytes = serde_json::to_vec(part)?;
        ensure!(
            bytes.len() <= MAX_CHUNK_BYTES,
            "{kind} take {} bytes, more than the limit of {MAX_CHUNK_BYTES} \
             (hint: shorten names or remove unused entries)",
            bytes.len(),
        );
        Ok(Self { reference: ChunkRef { kind, sha256: sha256_hex(&bytes) }, bytes })
    }

    /// Whether `bytes` are the content that `name` stands for.
    pub fn verify(name: &ChunkRef, bytes: &[u8]) -> bool {
        sha256_hex(bytes) == name.sha256
    }
}

/// Cuts sorted declarations into chunks.
pub fn split_into_chunks(declarations: &Declarations) -> anyhow::Result<Vec<Chunk>> {
    let mut all = declarations.clone();
    all.sort();
    let topology = Declarations {
        regions: all.regions,
        links: all.links,
        sites: all.sites,
        ..Declarations::default()
    };
    let mut res = vec![Chunk::new(ChunkKind::Topology, &topology)?];
    for blocks in cut_blocks(&all.blocks) {
        let part = Declarations { blocks: blocks.to_vec(), ..Declarations::default() };
        res.push(Chunk::new(ChunkKind::Blocks, &part)?);
    }
    for service in all.services {
        let part = Declarations { services: vec![service], ..Declarations::default() };
        res.push(Chunk::new(ChunkKind::Services, &part)?);
    }
    for tenants in all.tenants.chunks(1024) {
        let part = Declarations { tenants: tenants.to_vec(), ..Declarations::default() };
        res.push(Chunk::new(ChunkKind::Tenants, &part)?);
    }
    for keys in all.keys.chunks(1024) {
        let part = Declarations { keys: keys.to_vec(), ..Declarations::default() };
        res.push(Chunk::new(ChunkKind::Keys, &part)?);
    }
    let presets = Declarations {
        presets: all.presets,
        initial_preset: all.initial_preset,
        ..Declarations::default()
    };
    res.push(Chunk::new(ChunkKind::Presets, &presets)?);
    Ok(res)
}

/// Puts declarations together from the chunks of a head, which `fetch` answers by hash.
pub fn assemble_chunks<'a>(
    head: &Head,
    mut fetch: impl FnMut(&ChunkRef) -> Option<&'a [u8]>,
) -> anyhow::Result<Declarations> {
    let mut res = Declarations::default();
    for name in &head.chunks {
        let Some(bytes) = fetch(name) else { bail!("chunk {} is missing", name.sha256) };
        ensure!(Chunk::verify(name, bytes), "chunk {} does not match its hash", name.sha256);
        let part: Declarations = serde_json::from_slice(bytes)
            .with_context(|| format!("chunk {} of kind {}", name.sha256, name.kind))?;
        res.merge(part);
    }
    Ok(res)
}

/// Cuts blocks where the content says so, independent of what stands before.
fn cut_blocks(blocks: &[BlockDecl]) -> Vec<&[BlockDecl]> {
    let mut res = Vec::new();
    let mut start = 0;
    for (at, block) in blocks.iter().enumerate() {
        let at_boundary = xxh3_64(block.cidr.to_string().as_bytes()).is_multiple_of(BLOCK_BOUNDARY);
        if at_boundary || at + 1 - start == MAX_CHUNK_BLOCKS {
            res.push(&blocks[start..=at]);
            start = at + 1;
        }
    }
    if start < blocks.len() {
        res.push(&blocks[start..]);
    }
    res
}

/// SHA-256 in hexadecimal.
fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|it| format!("{it:02x}")).collect()
}
