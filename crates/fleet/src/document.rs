//! Versioned documents and content-addressed chunks, with the requests that fetch them from peers.

use std::{sync::Arc, time::Duration};

use sha2::{Digest as _, Sha256};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::message::{ChunkReply, ChunkRequest, DocumentReply, DocumentRequest, Message};

/// Limits memory use by a faulty peer; far above the three kinds of documents that exist.
const MAX_DOCUMENTS: usize = 1_024;

/// Limits retained versions of peers to 600 peers with 100 documents each.
const MAX_PEER_VERSIONS: usize = 60_000;

const MAX_NAME_BYTES: usize = 200;

/// Size limit of a document. The remainder of a message is reserved for the name and the length
/// prefixes.
const MAX_DOCUMENT_BYTES: usize = crate::message::MAX_MESSAGE_BYTES - 1_024;

/// Limits the data requested at the same time to 2 MB.
const MAX_PENDING_CHUNK_REQUESTS: usize = 8;

/// Store for the documents and chunks of one host.
#[derive(Debug)]
pub struct Documents {
    /// Sorted by name.
    documents: Vec<Document>,
    /// Latest versions that peers announced as triples of document name, peer and version, sorted
    /// by name and peer.
    peer_versions: Vec<(String, String, u64)>,
    /// Whether a peer has a newer version of a document. Cached because each heartbeat and tick
    /// reads it.
    is_behind: bool,
    pending_documents: Vec<PendingRequest>,
    pending_chunks: Vec<PendingRequest>,
    /// Names and contents of chunks, from the least to the most recently inserted.
    chunks: Vec<(String, Arc<[u8]>)>,
    /// Sorted names of the chunks that the latest head requires.
    required_chunks: Vec<String>,
    /// Version of the head that defines `required_chunks`.
    required_head_version: u64,
    /// Size above which chunks that are not required are evicted.
    max_chunk_bytes: usize,
    /// Time after which a request is sent to another peer.
    request_timeout: Duration,
}

/// A named and versioned piece of replicated state. The higher version wins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Name, for example `config/head`.
    pub name: String,
    /// Version, which never decreases within a process.
    pub version: u64,
    /// Content, opaque to this crate.
    pub bytes: Arc<[u8]>,
}

/// Result of applying a document to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The document is new or replaced an older version.
    Applied,
    /// The same version is already stored.
    Unchanged,
    /// A newer version is stored, or the document exceeds a limit.
    Rejected,
}

/// A request to a peer that has not been answered with content.
#[derive(Debug)]
struct PendingRequest {
    /// Name of the document or chunk.
    name: String,
    /// Peer to which the last request was sent.
    peer: String,
    requested_at: Instant,
    /// Peers that did not reply in time or do not have the content.
    tried_peers: Vec<String>,
}

impl Documents {
    /// Creates an empty store. Chunks that are not required are evicted above `max_chunk_bytes`,
    /// and requests are sent to another peer after `request_timeout`.
    pub fn new(max_chunk_bytes: usize, request_timeout: Duration) -> Self {
        Self {
            documents: Vec::new(),
            peer_versions: Vec::new(),
            is_behind: false,
            pending_documents: Vec::new(),
            pending_chunks: Vec::new(),
            chunks: Vec::new(),
            required_chunks: Vec::new(),
            required_head_version: 0,
            max_chunk_bytes,
            request_timeout,
        }
    }

    /// Stores a document if its version is higher than the stored one.
    pub fn apply(&mut self, name: &str, version: u64, bytes: &[u8]) -> ApplyOutcome {
        if name.len() > MAX_NAME_BYTES || bytes.len() > MAX_DOCUMENT_BYTES {
            return ApplyOutcome::Rejected;
        }
        let document = || Document { name: name.to_owned(), version, bytes: bytes.into() };
        match self.index_of(name) {
            Ok(index) => match version.cmp(&self.documents[index].version) {
                std::cmp::Ordering::Greater => self.documents[index] = document(),
                std::cmp::Ordering::Equal => return ApplyOutcome::Unchanged,
                std::cmp::Ordering::Less => return ApplyOutcome::Rejected,
            },
            Err(_) if self.documents.len() >= MAX_DOCUMENTS => return ApplyOutcome::Rejected,
            Err(index) => self.documents.insert(index, document()),
        }
        if self.newest_peer_version(name) <= version {
            self.pending_documents.retain(|it| it.name != name);
        }
        self.update_is_behind();
        ApplyOutcome::Applied
    }

    /// Returns the stored version of a document.
    pub fn document(&self, name: &str) -> Option<&Document> {
        self.index_of(name).ok().map(|index| &self.documents[index])
    }

    /// Returns the names and versions of all documents, sorted by name.
    pub fn versions(&self) -> Vec<(String, u64)> {
        self.documents.iter().map(|it| (it.name.clone(), it.version)).collect()
    }

    /// Returns a hash of the names and versions, with which two hosts detect that their documents
    /// are equal. Limited to 32 bits because each heartbeat contains it.
    pub fn versions_hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        for it in &self.documents {
            hash.update(it.name.as_bytes());
            hash.update(&it.version.to_le_bytes());
        }
        hash.digest() >> 32
    }

    /// Whether any peer has a newer version of a document.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Sets the chunks that a head requires. They are fetched if missing and never evicted. A head
    /// with a lower version than the last one is ignored.
    pub fn set_required_chunks(&mut self, head_version: u64, names: Vec<String>) {
        if head_version < self.required_head_version {
            return;
        }
        self.required_head_version = head_version;
        self.required_chunks = names;
        self.required_chunks.sort_unstable();
        self.required_chunks.dedup();
        let required = &self.required_chunks;
        self.pending_chunks.retain(|it| required.binary_search(&it.name).is_ok());
        self.evict();
    }

    /// Returns the names of the required chunks that are not stored.
    pub fn missing_chunks(&self) -> Vec<String> {
        self.required_chunks.iter().filter(|it| !self.has_chunk(it)).cloned().collect()
    }

    /// Stores a chunk and returns its name, see [`chunk_sha256`].
    pub fn insert_chunk(&mut self, bytes: &[u8]) -> String {
        let name = chunk_sha256(bytes);
        self.pending_chunks.retain(|it| it.name != name);
        self.chunks.retain(|it| it.0 != name);
        self.chunks.push((name.clone(), bytes.into()));
        self.evict();
        name
    }

    /// Returns the content of a chunk.
    pub fn chunk(&self, name: &str) -> Option<&Arc<[u8]>> {
        self.chunks.iter().find(|it| it.0 == name).map(|it| &it.1)
    }

    /// Returns the total size of all stored chunks.
    pub fn total_chunk_bytes(&self) -> usize {
        self.chunks.iter().map(|it| it.1.len()).sum()
    }

    /// Whether a required chunk or a newer version of a document is missing.
    pub(crate) fn has_missing_content(&self) -> bool {
        self.required_chunks.iter().any(|it| !self.has_chunk(it)) || self.is_behind()
    }

    /// Records the document versions that a peer announced.
    pub(crate) fn record_peer_versions(&mut self, peer: &str, versions: &[(String, u64)]) {
        for (name, version) in versions.iter().take(MAX_DOCUMENTS) {
            if name.len() > MAX_NAME_BYTES {
                continue;
            }
            let key = (name.as_str(), peer);
            match self.peer_versions.binary_search_by(|it| (it.0.as_str(), it.1.as_str()).cmp(&key))
            {
                Ok(index) => {
                    let known = &mut self.peer_versions[index].2;
                    *known = (*known).max(*version);
                }
                Err(_) if self.peer_versions.len() >= MAX_PEER_VERSIONS => {}
                Err(index) => {
                    self.peer_versions.insert(index, (name.clone(), peer.to_owned(), *version));
                }
            }
        }
        if !versions.is_empty() {
            self.update_is_behind();
        }
    }

    /// Removes the announced versions of a peer whose process is gone or was replaced.
    pub(crate) fn remove_peer(&mut self, peer: &str) {
        self.peer_versions.retain(|it| it.1 != peer);
        self.update_is_behind();
    }

    /// Creates the reply to a document request.
    pub(crate) fn document_reply(&self, request: &DocumentRequest) -> DocumentReply {
        let document = self.document(&request.name);
        let newer = document.filter(|it| it.version > request.newer_than);
        DocumentReply {
            name: request.name.clone(),
            version: document.map_or(0, |it| it.version),
            bytes: newer.map(|it| it.bytes.to_vec()),
        }
    }

    /// Creates the reply to a chunk request.
    pub(crate) fn chunk_reply(&self, request: &ChunkRequest) -> ChunkReply {
        let bytes = self.chunk(&request.sha256).map(|it| it.to_vec());
        ChunkReply { sha256: request.sha256.clone(), bytes }
    }

    /// Applies the document in a peer's reply.
    pub(crate) fn apply_document_reply(
        &mut self,
        peer: &str,
        reply: &DocumentReply,
    ) -> ApplyOutcome {
        let Some(bytes) = &reply.bytes else {
            mark_unavailable(&mut self.pending_documents, &reply.name, peer);
            return ApplyOutcome::Unchanged;
        };
        self.apply(&reply.name, reply.version, bytes)
    }

    /// Stores the chunk in a peer's reply if it is required and its content matches its name.
    pub(crate) fn apply_chunk_reply(&mut self, peer: &str, reply: &ChunkReply) {
        let is_required = self.required_chunks.binary_search(&reply.sha256).is_ok();
        match &reply.bytes {
            Some(bytes) if is_required && chunk_sha256(bytes) == reply.sha256 => {
                self.insert_chunk(bytes);
            }
            _ => mark_unavailable(&mut self.pending_chunks, &reply.sha256, peer),
        }
    }

    /// Returns the requests to send now as pairs of receiver and message. `peers` are the possible
    /// receivers in order of preference.
    pub(crate) fn due_requests(&mut self, peers: &[&str], now: Instant) -> Vec<(String, Message)> {
        let mut res = Vec::new();
        for name in self.outdated_documents() {
            let newer_than = self.document(&name).map_or(0, |it| it.version);
            let is_ahead = |peer: &str| self.peer_version(&name, peer) > newer_than;
            let sources: Vec<&str> = peers.iter().copied().filter(|it| is_ahead(it)).collect();
            if let Some(peer) = select_source(
                &mut self.pending_documents,
                &name,
                &sources,
                self.request_timeout,
                now,
            ) {
                let request = DocumentRequest { name, newer_than };
                res.push((peer, Message::DocumentRequest(request)));
            }
        }
        for sha256 in self.missing_chunks() {
            let is_pending = self.pending_chunks.iter().any(|it| it.name == sha256);
            if !is_pending && self.pending_chunks.len() >= MAX_PENDING_CHUNK_REQUESTS {
                continue;
            }
            if let Some(peer) =
                select_source(&mut self.pending_chunks, &sha256, peers, self.request_timeout, now)
            {
                res.push((peer, Message::ChunkRequest(ChunkRequest { sha256 })));
            }
        }
        res
    }

    /// Updates the cached `is_behind` after a change of documents or of versions of peers.
    fn update_is_behind(&mut self) {
        self.is_behind = self.peer_versions.iter().any(|it| self.is_newer(it));
    }

    /// Returns the names of documents of which a peer has a newer version.
    fn outdated_documents(&self) -> Vec<String> {
        let newer = self.peer_versions.iter().filter(|it| self.is_newer(it));
        let mut res: Vec<_> = newer.map(|it| it.0.clone()).collect();
        res.dedup();
        res
    }

    /// Whether a peer's version is higher than the stored one.
    fn is_newer(&self, announced: &(String, String, u64)) -> bool {
        self.document(&announced.0).is_none_or(|it| it.version < announced.2)
    }

    /// Returns the version of a document that a peer announced, 0 for none.
    fn peer_version(&self, name: &str, peer: &str) -> u64 {
        let key = (name, peer);
        let index =
            self.peer_versions.binary_search_by(|it| (it.0.as_str(), it.1.as_str()).cmp(&key));
        index.map_or(0, |index| self.peer_versions[index].2)
    }

    /// Returns the highest version of a document that any peer announced, 0 for none.
    fn newest_peer_version(&self, name: &str) -> u64 {
        let versions = self.peer_versions.iter().filter(|it| it.0 == name).map(|it| it.2);
        versions.max().unwrap_or(0)
    }

    fn has_chunk(&self, name: &str) -> bool {
        self.chunks.iter().any(|it| it.0 == name)
    }

    /// Evicts the oldest chunks that are not required until the store is within its limit.
    fn evict(&mut self) {
        let mut size_bytes = self.total_chunk_bytes();
        let (required, max_bytes) = (&self.required_chunks, self.max_chunk_bytes);
        self.chunks.retain(|(name, bytes)| {
            let keep = size_bytes <= max_bytes || required.binary_search(name).is_ok();
            if !keep {
                size_bytes -= bytes.len();
            }
            keep
        });
    }

    /// Returns the index of a document, or the index at which to insert it.
    fn index_of(&self, name: &str) -> Result<usize, usize> {
        self.documents.binary_search_by(|it| it.name.as_str().cmp(name))
    }
}

/// Computes the name of a chunk: the SHA-256 of its content in hexadecimal.
pub fn chunk_sha256(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut res = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        write!(res, "{byte:02x}").expect("writing to a string succeeds");
    }
    res
}

/// Selects the peer to which to send a request and records the request. Returns `None` while the
/// previous request may still be answered, or if there is no source.
fn select_source(
    pending: &mut Vec<PendingRequest>,
    name: &str,
    sources: &[&str],
    timeout: Duration,
    now: Instant,
) -> Option<String> {
    let index = pending.iter().position(|it| it.name == name);
    if let Some(index) = index {
        let request = &mut pending[index];
        let was_tried = request.tried_peers.contains(&request.peer);
        if !was_tried && now.saturating_duration_since(request.requested_at) < timeout {
            return None;
        }
        if !was_tried {
            request.tried_peers.push(request.peer.clone());
        }
        let next = sources.iter().find(|it| !request.tried_peers.iter().any(|tried| tried == *it));
        match next {
            Some(next) => request.peer = (*next).to_owned(),
            // All sources were asked. Starts over, but not before the timeout.
            None if now.saturating_duration_since(request.requested_at) < timeout => return None,
            None => {
                request.tried_peers.clear();
                request.peer = (*sources.first()?).to_owned();
            }
        }
        request.requested_at = now;
        return Some(request.peer.clone());
    }
    let peer = (*sources.first()?).to_owned();
    pending.push(PendingRequest {
        name: name.to_owned(),
        peer: peer.clone(),
        requested_at: now,
        tried_peers: Vec::new(),
    });
    Some(peer)
}

/// Records that a peer does not have the requested content, so that the request is sent to another
/// peer without waiting for the timeout.
fn mark_unavailable(pending: &mut [PendingRequest], name: &str, peer: &str) {
    let request = pending.iter_mut().find(|it| it.name == name && it.peer == peer);
    if let Some(request) = request
        && !request.tried_peers.iter().any(|it| it == peer)
    {
        request.tried_peers.push(peer.to_owned());
    }
}
