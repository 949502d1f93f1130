//! Versioned documents and content-addressed chunks, with the requests that fetch them.

use std::{sync::Arc, time::Duration};

use sha2::{Digest as _, Sha256};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::message::{ChunkReply, ChunkRequest, DocumentReply, DocumentRequest, Message};

/// Most documents, far above the three kinds that exist, so that a faulty peer cannot fill memory.
const MAX_DOCUMENTS: usize = 1_024;

/// Most remembered announcements, 600 peers with a hundred documents each.
const MAX_ANNOUNCED: usize = 60_000;

/// Longest name of a document.
const MAX_NAME_BYTES: usize = 200;

/// Largest document, which leaves room for the name and lengths within one message.
const MAX_DOCUMENT_BYTES: usize = crate::message::MAX_MESSAGE_BYTES - 1_024;

/// Chunk requests that are pending at the same time, 2 MB at most.
const MAX_PENDING_CHUNKS: usize = 8;

/// Documents and chunks of one host.
#[derive(Debug)]
pub struct Documents {
    /// Documents sorted by name.
    documents: Vec<Document>,
    /// Newest versions that peers announced, sorted by document and peer.
    announced: Vec<(String, String, u64)>,
    /// Whether an announced version is above the present one; kept, since every heartbeat asks.
    is_behind: bool,
    /// Requests for documents that wait for an answer.
    document_fetches: Vec<Fetch>,
    /// Requests for chunks that wait for an answer.
    chunk_fetches: Vec<Fetch>,
    /// Chunks from the least to the most recently used.
    chunks: Vec<(String, Arc<[u8]>)>,
    /// Names of the chunks of the newest head.
    wanted: Vec<String>,
    /// Version of the head that `wanted` belongs to.
    wanted_version: u64,
    /// Size above which chunks that are not wanted are dropped.
    store_bytes: usize,
    /// Time after which a request goes to another peer.
    retry: Duration,
}

/// A named, versioned piece of state; the larger version wins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Name, as `config/head`.
    pub name: String,
    /// Version, which never decreases.
    pub version: u64,
    /// Content.
    pub bytes: Arc<[u8]>,
}

/// What became of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It replaced an older version or is new.
    Applied,
    /// This version is already present.
    Unchanged,
    /// A newer version is present, or the document breaks a bound; it was not taken.
    Rejected,
}

/// A request that waits for an answer.
#[derive(Debug)]
struct Fetch {
    /// Name of the document or chunk.
    name: String,
    /// The peer that was asked last.
    peer: String,
    /// When it was asked.
    asked_at: Instant,
    /// Peers that did not answer or do not have it.
    tried: Vec<String>,
}

impl Documents {
    /// An empty store.
    pub fn new(store_bytes: usize, retry: Duration) -> Self {
        Self {
            documents: Vec::new(),
            announced: Vec::new(),
            is_behind: false,
            document_fetches: Vec::new(),
            chunk_fetches: Vec::new(),
            chunks: Vec::new(),
            wanted: Vec::new(),
            wanted_version: 0,
            store_bytes,
            retry,
        }
    }

    /// Takes a document when its version is above the present one.
    pub fn apply(&mut self, name: &str, version: u64, bytes: &[u8]) -> ApplyOutcome {
        if name.len() > MAX_NAME_BYTES || bytes.len() > MAX_DOCUMENT_BYTES {
            return ApplyOutcome::Rejected;
        }
        let document = || Document { name: name.to_owned(), version, bytes: bytes.into() };
        match self.position(name) {
            Ok(at) => match version.cmp(&self.documents[at].version) {
                std::cmp::Ordering::Greater => self.documents[at] = document(),
                std::cmp::Ordering::Equal => return ApplyOutcome::Unchanged,
                std::cmp::Ordering::Less => return ApplyOutcome::Rejected,
            },
            Err(_) if self.documents.len() >= MAX_DOCUMENTS => return ApplyOutcome::Rejected,
            Err(at) => self.documents.insert(at, document()),
        }
        if self.newest_announced(name) <= version {
            self.document_fetches.retain(|it| it.name != name);
        }
        self.update_behind();
        ApplyOutcome::Applied
    }

    /// The present version of a document.
    pub fn document(&self, name: &str) -> Option<&Document> {
        self.position(name).ok().map(|at| &self.documents[at])
    }

    /// Names and versions of all documents, sorted by name.
    pub fn versions(&self) -> Vec<(String, u64)> {
        self.documents.iter().map(|it| (it.name.clone(), it.version)).collect()
    }

    /// Hash of names and versions, by which two hosts find out that they have the same. It has 32
    /// bits, since every heartbeat carries it.
    pub fn versions_hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        for it in &self.documents {
            hash.update(it.name.as_bytes());
            hash.update(&it.version.to_le_bytes());
        }
        hash.digest() >> 32
    }

    /// Whether some peer has a newer version of a document.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Names the chunks of a head; they are fetched when missing and never dropped for space.
    /// Chunks of an older head than the last one are not taken.
    pub fn set_required_chunks(&mut self, head_version: u64, names: Vec<String>) {
        if head_version < self.wanted_version {
            return;
        }
        self.wanted_version = head_version;
        self.wanted = names;
        self.wanted.sort_unstable();
        self.wanted.dedup();
        let wanted = &self.wanted;
        self.chunk_fetches.retain(|it| wanted.binary_search(&it.name).is_ok());
        self.evict();
    }

    /// Chunks of the newest head that are not present.
    pub fn missing_chunks(&self) -> Vec<String> {
        self.wanted.iter().filter(|it| !self.has_chunk(it)).cloned().collect()
    }

    /// Stores a chunk and answers its name.
    pub fn insert_chunk(&mut self, bytes: &[u8]) -> String {
        let name = chunk_sha256(bytes);
        self.chunk_fetches.retain(|it| it.name != name);
        self.chunks.retain(|it| it.0 != name);
        self.chunks.push((name.clone(), bytes.into()));
        self.evict();
        name
    }

    /// The content of a chunk.
    pub fn chunk(&self, name: &str) -> Option<&Arc<[u8]>> {
        self.chunks.iter().find(|it| it.0 == name).map(|it| &it.1)
    }

    /// Size of all chunks.
    pub fn total_chunk_bytes(&self) -> usize {
        self.chunks.iter().map(|it| it.1.len()).sum()
    }

    /// Whether something that peers have is missing here.
    pub(crate) fn has_requests(&self) -> bool {
        self.wanted.iter().any(|it| !self.has_chunk(it)) || self.is_behind()
    }

    /// Notes what a peer has.
    pub(crate) fn note_versions(&mut self, peer: &str, versions: &[(String, u64)]) {
        for (name, version) in versions.iter().take(MAX_DOCUMENTS) {
            if name.len() > MAX_NAME_BYTES {
                continue;
            }
            let key = (name.as_str(), peer);
            match self.announced.binary_search_by(|it| (it.0.as_str(), it.1.as_str()).cmp(&key)) {
                Ok(at) => {
                    let known = &mut self.announced[at].2;
                    *known = (*known).max(*version);
                }
                Err(_) if self.announced.len() >= MAX_ANNOUNCED => {}
                Err(at) => {
                    self.announced.insert(at, (name.clone(), peer.to_owned(), *version));
                }
            }
        }
        if !versions.is_empty() {
            self.update_behind();
        }
    }

    /// Forgets what a peer has, since its process is gone or was replaced.
    pub(crate) fn forget_peer(&mut self, peer: &str) {
        self.announced.retain(|it| it.1 != peer);
        self.update_behind();
    }

    /// Answers a request of a peer.
    pub(crate) fn answer_document(&self, request: &DocumentRequest) -> DocumentReply {
        let document = self.document(&request.name);
        let newer = document.filter(|it| it.version > request.newer_than);
        DocumentReply {
            name: request.name.clone(),
            version: document.map_or(0, |it| it.version),
            bytes: newer.map(|it| it.bytes.to_vec()),
        }
    }

    /// Answers a request of a peer.
    pub(crate) fn answer_chunk(&self, request: &ChunkRequest) -> ChunkReply {
        let bytes = self.chunk(&request.sha256).map(|it| it.to_vec());
        ChunkReply { sha256: request.sha256.clone(), bytes }
    }

    /// Takes a peer's answer; whether it became newer.
    pub(crate) fn take_document(&mut self, peer: &str, reply: &DocumentReply) -> ApplyOutcome {
        let Some(bytes) = &reply.bytes else {
            mark_tried(&mut self.document_fetches, &reply.name, peer);
            return ApplyOutcome::Unchanged;
        };
        self.apply(&reply.name, reply.version, bytes)
    }

    /// Takes a peer's chunk if it is wanted and its content has the name it was asked by.
    pub(crate) fn take_chunk(&mut self, peer: &str, reply: &ChunkReply) {
        let wanted = self.wanted.binary_search(&reply.sha256).is_ok();
        match &reply.bytes {
            Some(bytes) if wanted && chunk_sha256(bytes) == reply.sha256 => {
                self.insert_chunk(bytes);
            }
            _ => mark_tried(&mut self.chunk_fetches, &reply.sha256, peer),
        }
    }

    /// Requests to send now; `peers` are the hosts that can be asked, in order of preference.
    pub(crate) fn requests(&mut self, peers: &[&str], now: Instant) -> Vec<(String, Message)> {
        let mut res = Vec::new();
        for name in self.behind() {
            let newer_than = self.document(&name).map_or(0, |it| it.version);
            let ahead = |peer: &str| self.announced_by(&name, peer) > newer_than;
            let sources: Vec<&str> = peers.iter().copied().filter(|it| ahead(it)).collect();
            if let Some(peer) = ask(&mut self.document_fetches, &name, &sources, self.retry, now) {
                let request = DocumentRequest { name, newer_than };
                res.push((peer, Message::DocumentRequest(request)));
            }
        }
        for sha256 in self.missing_chunks() {
            let pending = self.chunk_fetches.iter().any(|it| it.name == sha256);
            if !pending && self.chunk_fetches.len() >= MAX_PENDING_CHUNKS {
                continue;
            }
            if let Some(peer) = ask(&mut self.chunk_fetches, &sha256, peers, self.retry, now) {
                res.push((peer, Message::ChunkRequest(ChunkRequest { sha256 })));
            }
        }
        res
    }

    /// Recomputes whether a peer is ahead, after a change of documents or announcements.
    fn update_behind(&mut self) {
        self.is_behind = self.announced.iter().any(|it| self.is_newer(it));
    }

    /// Documents of which some peer has a newer version.
    fn behind(&self) -> Vec<String> {
        let newer = self.announced.iter().filter(|it| self.is_newer(it));
        let mut res: Vec<_> = newer.map(|it| it.0.clone()).collect();
        res.dedup();
        res
    }

    /// Whether an announced version is above the present one.
    fn is_newer(&self, announced: &(String, String, u64)) -> bool {
        self.document(&announced.0).is_none_or(|it| it.version < announced.2)
    }

    /// The version that a peer announced.
    fn announced_by(&self, name: &str, peer: &str) -> u64 {
        let key = (name, peer);
        let at = self.announced.binary_search_by(|it| (it.0.as_str(), it.1.as_str()).cmp(&key));
        at.map_or(0, |at| self.announced[at].2)
    }

    /// The newest version that any peer announced.
    fn newest_announced(&self, name: &str) -> u64 {
        let versions = self.announced.iter().filter(|it| it.0 == name).map(|it| it.2);
        versions.max().unwrap_or(0)
    }

    /// Whether a chunk is present.
    fn has_chunk(&self, name: &str) -> bool {
        self.chunks.iter().any(|it| it.0 == name)
    }

    /// Drops the oldest chunks that are not wanted while the store is too large.
    fn evict(&mut self) {
        let mut size_bytes = self.total_chunk_bytes();
        let (wanted, bound) = (&self.wanted, self.store_bytes);
        self.chunks.retain(|(name, bytes)| {
            let keep = size_bytes <= bound || wanted.binary_search(name).is_ok();
            if !keep {
                size_bytes -= bytes.len();
            }
            keep
        });
    }

    /// Where a document stands, or would stand.
    fn position(&self, name: &str) -> Result<usize, usize> {
        self.documents.binary_search_by(|it| it.name.as_str().cmp(name))
    }
}

/// The name of a chunk: SHA-256 of its content in hexadecimal.
pub fn chunk_sha256(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut res = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        write!(res, "{byte:02x}").expect("writing to a string succeeds");
    }
    res
}

/// Chooses the peer to ask for something, `None` while an earlier request may still be answered.
fn ask(
    fetches: &mut Vec<Fetch>,
    name: &str,
    sources: &[&str],
    retry: Duration,
    now: Instant,
) -> Option<String> {
    let at = fetches.iter().position(|it| it.name == name);
    if let Some(at) = at {
        let fetch = &mut fetches[at];
        let refused = fetch.tried.contains(&fetch.peer);
        if !refused && now.saturating_duration_since(fetch.asked_at) < retry {
            return None;
        }
        if !refused {
            fetch.tried.push(fetch.peer.clone());
        }
        let next = sources.iter().find(|it| !fetch.tried.iter().any(|tried| tried == *it));
        match next {
            Some(next) => fetch.peer = (*next).to_owned(),
            // Everybody was asked: start over, but no sooner than the retry time allows.
            None if now.saturating_duration_since(fetch.asked_at) < retry => return None,
            None => {
                fetch.tried.clear();
                fetch.peer = (*sources.first()?).to_owned();
            }
        }
        fetch.asked_at = now;
        return Some(fetch.peer.clone());
    }
    let peer = (*sources.first()?).to_owned();
    fetches.push(Fetch {
        name: name.to_owned(),
        peer: peer.clone(),
        asked_at: now,
        tried: Vec::new(),
    });
    Some(peer)
}

/// Notes that a peer does not have what it was asked for, so that the next one is asked at once.
fn mark_tried(fetches: &mut [Fetch], name: &str, peer: &str) {
    let fetch = fetches.iter_mut().find(|it| it.name == name && it.peer == peer);
    if let Some(fetch) = fetch
        && !fetch.tried.iter().any(|it| it == peer)
    {
        fetch.tried.push(peer.to_owned());
    }
}
