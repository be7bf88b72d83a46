//! Hashes of a prompt's prefixes.

use lycheelatch_upstream::CacheEvent;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Bytes of prompt text that one block covers.
pub const BLOCK_BYTES: usize = 1024;

/// Tokens that one block stands for, at four bytes a token.
pub const BLOCK_TOKENS: u64 = 256;

/// Most blocks of one prompt that are told apart.
pub const MAX_BLOCKS: usize = 256;

/// Hash of one block of a prompt and all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BlockHash(pub u64);

/// Hashes the prefixes of a prompt that is given in parts, such as messages.
///
/// Each hash covers its block and all before it; the rest after the last full
/// block has none. Where the parts begin and end does not matter.
pub fn prefix_blocks<'a>(parts: impl IntoIterator<Item = &'a str>) -> Vec<BlockHash> {
    let mut hasher = Xxh3::new();
    let mut blocks = Vec::new();
    let mut room = BLOCK_BYTES;
    for part in parts {
        let mut rest = part.as_bytes();
        while !rest.is_empty() && blocks.len() < MAX_BLOCKS {
            let (now, later) = rest.split_at(rest.len().min(room));
            hasher.update(now);
            room -= now.len();
            rest = later;
            if room == 0 {
                blocks.push(BlockHash(hasher.digest()));
                room = BLOCK_BYTES;
            }
        }
    }
    blocks
}

/// Blocks that a cache event names.
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
    fn prefix_blocks_parts_do_not_matter() {
        let text = "0123456789".repeat(500);
        let parts = [&text[..7], &text[7..2049], &text[2049..]];
        assert_eq!(prefix_blocks(parts), prefix_blocks([text.as_str()]));
    }

    #[test]
    fn prefix_blocks_bounded() {
        let text = "x".repeat((MAX_BLOCKS + 10) * BLOCK_BYTES);
        assert_eq!(prefix_blocks([text.as_str()]).len(), MAX_BLOCKS);
        assert!(prefix_blocks(["short"]).is_empty());
    }
}
