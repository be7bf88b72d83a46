//! Block hashes of prompt prefixes.

use lycheelatch_upstream::CacheEvent;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Bytes of prompt text per block.
pub const BLOCK_BYTES: usize = 1024;

/// Tokens per block, at four bytes per token.
pub const BLOCK_TOKENS: u64 = 256;

/// Maximum number of blocks that are hashed per prompt.
pub const MAX_BLOCKS: usize = 256;

/// Hash of a prompt block and all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BlockHash(pub u64);

/// Hashes the prefix blocks of a prompt that is given in parts, such as messages.
///
/// Each hash covers its block and all blocks before it. An incomplete last block is not hashed.
/// The result does not depend on the boundaries of the parts.
pub fn prefix_blocks<'a>(parts: impl IntoIterator<Item = &'a str>) -> Vec<BlockHash> {
    let mut hasher = Xxh3::new();
    let mut blocks = Vec::new();
    let mut room = BLOCK_BYTES;
    for part in parts {
        let mut rest = part.as_bytes();
        while !rest.is_empty() && blocks.len() < MAX_BLOCKS {
            let (head, tail) = rest.split_at(rest.len().min(room));
            hasher.update(head);
            room -= head.len();
            rest = tail;
            if room == 0 {
                blocks.push(BlockHash(hasher.digest()));
                room = BLOCK_BYTES;
            }
        }
    }
    blocks
}

/// Returns the blocks listed in a cache event.
pub(crate) fn event_blocks(event: &CacheEvent) -> &[u64] {
    match event {
        CacheEvent::Stored { blocks } | CacheEvent::Removed { blocks } => blocks,
        CacheEvent::Cleared => &[],
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn prefix_blocks_shared_prefix_is_equal() {
        let head = "x".repeat(3 * BLOCK_BYTES + 10);
        let (a, b) = (format!("{head}{}", "a".repeat(3000)), format!("{head}{}", "b".repeat(3000)));
        let (a, b) = (prefix_blocks([a.as_str()]), prefix_blocks([b.as_str()]));
        assert_eq!(a[..3], b[..3]);
        assert_ne!(a[3], b[3]);
        assert_ne!(a[4], b[4]);
    }

    #[test]
    fn prefix_blocks_independent_of_parts() {
        let text = "0123456789".repeat(500);
        let parts = [&text[..7], &text[7..2049], &text[2049..]];
        assert_eq!(prefix_blocks(parts), prefix_blocks([text.as_str()]));
    }

    #[test]
    fn prefix_blocks_bounded_by_max_blocks() {
        let text = "x".repeat((MAX_BLOCKS + 10) * BLOCK_BYTES);
        assert_eq!(prefix_blocks([text.as_str()]).len(), MAX_BLOCKS);
        assert!(prefix_blocks(["short"]).is_empty());
    }
}
