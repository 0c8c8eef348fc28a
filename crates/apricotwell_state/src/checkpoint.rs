//! Checkpoints of the state, split into chunks and protected by a checksum.

use std::collections::BTreeMap;
use std::fmt;

use sha2::{Digest, Sha256};

use apricotwell_records::CheckpointChunk;
use apricotwell_types::{Incarnation, Offset};

use crate::{Genesis, State};

/// Maximum number of state bytes in one chunk.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// Incomplete checkpoints kept while reading. A writer that stops half-way would otherwise leave
/// its chunks in memory forever.
const MAX_PARTIAL: usize = 8;

/// Error while reading a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckpointError {
    /// The checksum does not match the bytes.
    Corrupt,
    /// The bytes were written by an incompatible version.
    Unreadable,
    /// The checkpoint has a different root key or number of shards.
    GenesisMismatch,
}

impl fmt::Display for CheckpointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CheckpointError::Corrupt => {
                "the checkpoint's checksum does not match; an older checkpoint is used"
            }
            CheckpointError::Unreadable => {
                "the checkpoint is of an incompatible version; run the version that wrote it"
            }
            CheckpointError::GenesisMismatch => {
                "the checkpoint has another root key or shard count; copy [fleet] from its writer"
            }
        })
    }
}

impl std::error::Error for CheckpointError {}

/// Returns the chunks of a checkpoint of `state`.
pub fn chunk_checkpoint(
    state: &State,
    writer: &str,
    incarnation: Incarnation,
) -> Vec<CheckpointChunk> {
    // The state contains only maps, strings and numbers, so encoding can't fail.
    let bytes = postcard::to_allocvec(state).unwrap_or_default();
    let checksum = Sha256::digest(&bytes).to_vec();
    let pieces: Vec<&[u8]> = bytes.chunks(CHUNK_BYTES).collect();
    let total = pieces.len() as u32;
    let chunk = |(index, piece): (usize, &&[u8])| CheckpointChunk {
        offset: state.next(),
        writer: writer.to_owned(),
        incarnation,
        index: index as u32,
        total,
        checksum: checksum.clone(),
        bytes: piece.to_vec(),
    };
    pieces.iter().enumerate().map(chunk).collect()
}

/// Restores the state from the bytes of a whole checkpoint.
///
/// # Errors
///
/// Fails if the bytes are of an incompatible version, or of a state with another genesis.
pub fn restore_checkpoint(bytes: &[u8], genesis: &Genesis) -> Result<State, CheckpointError> {
    let mut state: State = postcard::from_bytes(bytes).map_err(|_| CheckpointError::Unreadable)?;
    if state.genesis() != genesis {
        return Err(CheckpointError::GenesisMismatch);
    }
    state.rebuild();
    Ok(state)
}

type CheckpointKey = (Offset, String, Incarnation);

/// Assembles checkpoints from their chunks.
///
/// Chunks may arrive in any order, and those of several checkpoints may be mixed.
#[derive(Debug, Default)]
pub struct CheckpointAssembler {
    partial: BTreeMap<CheckpointKey, BTreeMap<u32, CheckpointChunk>>,
}

impl CheckpointAssembler {
    /// Adds a chunk, and returns the bytes of the checkpoint if the chunk completes it.
    ///
    /// # Errors
    ///
    /// Fails if the checksum of the completed checkpoint does not match; its chunks are dropped.
    pub fn push(&mut self, chunk: CheckpointChunk) -> Result<Option<Vec<u8>>, CheckpointError> {
        let key = (chunk.offset, chunk.writer.clone(), chunk.incarnation);
        let total = chunk.total as usize;
        let chunks = self.partial.entry(key.clone()).or_default();
        chunks.insert(chunk.index, chunk);
        if chunks.len() < total {
            if self.partial.len() > MAX_PARTIAL {
                self.partial.pop_first();
            }
            return Ok(None);
        }
        let chunks = self.partial.remove(&key).unwrap_or_default();
        let mut bytes = Vec::new();
        let mut checksum = Vec::new();
        for chunk in chunks.into_values() {
            checksum = chunk.checksum;
            bytes.extend(chunk.bytes);
        }
        if Sha256::digest(&bytes)[..] != checksum[..] {
            return Err(CheckpointError::Corrupt);
        }
        Ok(Some(bytes))
    }
}
