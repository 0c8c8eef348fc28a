//! Rendezvous hashing.
//!
//! All instances select the same owner for an item. A member that joins or leaves moves only the
//! items that it owns.

use std::hash::Hasher;

use crate::Shard;

/// Returns the rank of `member` for `item`; the member with the highest rank owns the item.
pub fn rendezvous_rank(item: u64, member: &str) -> u64 {
    let mut hash = rustc_hash::FxHasher::default();
    hash.write(member.as_bytes());
    mix(hash.finish() ^ mix(item))
}

/// Returns the member that owns `item`, or `None` without members.
pub fn rendezvous_owner<'a, I>(item: u64, members: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    members
        .into_iter()
        .max_by_key(|member| (rendezvous_rank(item, member), *member))
}

/// Returns the shard of `name` out of `shards`.
pub fn shard_of(name: &str, shards: Shard) -> Shard {
    let mut hash = rustc_hash::FxHasher::default();
    hash.write(name.as_bytes());
    (mix(hash.finish()) % u64::from(shards.max(1))) as Shard
}

// `FxHasher` mixes the high bits poorly for short input. The finalizer of SplitMix64 spreads
// them.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
