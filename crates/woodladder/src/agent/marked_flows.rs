//! New flows that the transport gets only to turn them away.
//!
//! The transport alone can write an answer that the caller understands, so
//! the first datagram of such a flow still reaches it. The mark tells what to
//! do when the transport offers the flow.

use std::collections::VecDeque;
use std::sync::Mutex;

/// Marks kept at the same time; older ones are forgotten first.
const MAXIMUM_MARKS: usize = 1024;

/// What to do with a marked flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Mark {
    /// Refuse the connection.
    Refuse,
    /// Open the connection and answer its requests as not run.
    Decline,
}

/// The marked flows, by the connection identifier that the caller chose.
#[derive(Debug, Default)]
pub(super) struct MarkedFlows {
    marks: Mutex<VecDeque<MarkedFlow>>,
}

#[derive(Debug)]
struct MarkedFlow {
    flow: Vec<u8>,
    mark: Mark,
}

impl MarkedFlows {
    /// Marks a flow.
    pub(super) fn set(&self, flow: &[u8], mark: Mark) {
        let Ok(mut marks) = self.marks.lock() else {
            return;
        };
        if let Some(known) = marks.iter_mut().find(|known| known.flow == flow) {
            known.mark = mark;
            return;
        }
        if marks.len() >= MAXIMUM_MARKS {
            marks.pop_front();
        }
        marks.push_back(MarkedFlow {
            flow: flow.to_vec(),
            mark,
        });
    }

    /// Takes a flow's mark off.
    pub(super) fn take(&self, flow: &[u8]) -> Option<Mark> {
        let mut marks = self.marks.lock().ok()?;
        let position = marks.iter().position(|known| known.flow == flow)?;
        marks.remove(position).map(|marked| marked.mark)
    }
}
