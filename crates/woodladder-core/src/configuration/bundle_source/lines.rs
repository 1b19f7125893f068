//! Lines of a document, for the place of a finding.

use std::ops::Range;

/// Finds the line of a byte.
pub(super) struct Lines {
    ends: Vec<usize>,
}

impl Lines {
    pub(super) fn new(text: &str) -> Self {
        let ends = text.match_indices('\n').map(|(index, _)| index).collect();
        Self { ends }
    }

    /// Line of a span's start, counted from one.
    pub(super) fn line(&self, span: &Range<usize>) -> usize {
        self.ends.partition_point(|end| *end < span.start) + 1
    }
}
