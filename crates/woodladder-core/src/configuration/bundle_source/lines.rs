//! Line numbers of a document, for the places of findings.

use std::ops::Range;

/// Positions of the line ends, to find the line of a byte.
pub(super) struct Lines {
    newlines: Vec<usize>,
}

impl Lines {
    pub(super) fn new(text: &str) -> Self {
        let newlines = text.match_indices('\n').map(|(index, _)| index).collect();
        Self { newlines }
    }

    /// Line in which a span starts, counted from one.
    pub(super) fn line(&self, span: &Range<usize>) -> usize {
        self.newlines
            .partition_point(|newline| *newline < span.start)
            + 1
    }
}
