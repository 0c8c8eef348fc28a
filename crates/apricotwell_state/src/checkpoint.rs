//! Chunked, checksummed checkpoints.

use std::collections::BTreeMap;
use std::fmt;

use sha2::{Digest, Sha256};

use apricotwell_records::CheckpointChunk;
use apricotwell_types::{Incarnation, Offset};

use crate::{Genesis, State};

/// Bytes of state in one chunk.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// Unfinished checkpoints kept while reading, against writers that stop half-way.
const MAX_PARTIAL: usize = 8;

/// Why a checkpoint was not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckpointError {
    /// The checksum does not fit the bytes.
    Corrupt,
    /// The bytes are of another version.
    Unreadable,
    /// The checkpoint was begun with another root key or number of shards.
    GenesisMismatch,
}

impl fmt::Display for CheckpointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CheckpointError::Corrupt => {
                "the checkpoint's checksum does not fit; an older checkpoint is used"
            }
            CheckpointError::Unreadable => {
                "the checkpoint is of another version; run the version that wrote it"
            }
            CheckpointError::GenesisMismatch => {
                "the checkpoint has another root key or shard count; set [fleet] like its writer's"
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
    // The state holds only maps, texts and numbers, which always encode.
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

/// Decodes the bytes of a whole checkpoint.
///
/// # Errors
///
/// Fails when the bytes are of another version or of another genesis.
pub fn restore_checkpoint(bytes: &[u8], genesis: &Genesis) -> Result<State, CheckpointError> {
    let mut state: State = postcard::from_bytes(bytes).map_err(|_| CheckpointError::Unreadable)?;
    if state.genesis() != genesis {
        return Err(CheckpointError::GenesisMismatch);
    }
    state.rebuild();
    Ok(state)
}

type CheckpointKey = (Offset, String, Incarnation);

/// Puts chunks together again, in whatever order and mix they come.
#[derive(Debug, Default)]
pub struct CheckpointAssembler {
    partial: BTreeMap<CheckpointKey, BTreeMap<u32, CheckpointChunk>>,
}

impl CheckpointAssembler {
    /// Takes a chunk and returns the bytes of a checkpoint that it completes.
    ///
    /// # Errors
    ///
    /// Fails when the completed checkpoint's checksum does not fit; it is then forgotten.
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
