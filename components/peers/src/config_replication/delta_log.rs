//! Log of recent deltas, for peers that missed them.

use std::collections::VecDeque;

use lycheelatch_prelude::Revision;

use super::wire::EncodedDelta;

/// Maximum size of the log, in bytes.
const MAX_LOG_BYTES: usize = 256 * 1024;

/// The latest deltas; each applies to the revision that the previous one produces.
#[derive(Debug, Default)]
pub(crate) struct DeltaLog {
    deltas: VecDeque<EncodedDelta>,
    bytes: usize,
}

impl DeltaLog {
    /// Appends a delta, after clearing the log if the delta does not follow the last one.
    pub(crate) fn push(&mut self, delta: EncodedDelta) {
        if self.deltas.back().is_some_and(|last| last.to != delta.from) {
            self.deltas.clear();
            self.bytes = 0;
        }
        self.bytes += delta.len();
        self.deltas.push_back(delta);
        while self.bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.deltas.pop_front() else { break };
            self.bytes -= oldest.len();
        }
    }

    /// Returns the deltas from `have` to the latest revision, if the log reaches back to `have`.
    pub(crate) fn since(&self, have: Revision) -> Option<Vec<EncodedDelta>> {
        let start = self.deltas.iter().position(|delta| delta.from == have)?;
        Some(self.deltas.iter().skip(start).cloned().collect())
    }

    /// Returns the latest revision.
    pub(crate) fn latest(&self) -> Option<Revision> {
        self.deltas.back().map(|delta| delta.to)
    }
}
