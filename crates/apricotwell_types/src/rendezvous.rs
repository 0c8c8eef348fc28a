//! Rendezvous hashing: every reader picks the same owner, and a member that comes or goes moves
//! only its own share.

use std::hash::Hasher;

use crate::Shard;

/// Returns the weight of `member` for `item`; the highest one owns the item.
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

/// Returns the duty shard of a name among `shards` shards.
pub fn shard_of(name: &str, shards: Shard) -> Shard {
    let mut hash = rustc_hash::FxHasher::default();
    hash.write(name.as_bytes());
    (mix(hash.finish()) % u64::from(shards.max(1))) as Shard
}

// The fast hasher leaves its high bits weak on short input; this finalizer spreads them.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
