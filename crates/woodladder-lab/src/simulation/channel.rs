//! One end of an open flow: frames are numbered, sent again until they are
//! acknowledged, and handed over once and in order.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use woodladder_core::clock::Instant;

use super::frame::{Frame, FrameDatagram};

/// Time after which a frame that is not acknowledged is sent again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest such time; it doubles with each attempt.
const MAXIMUM_PROBE_TIMEOUT: Duration = Duration::from_millis(960);
/// Frames sent again at one time at most.
const RESEND_BURST: usize = 8;

/// One end of an open flow.
#[derive(Clone, Debug, Default)]
pub struct Channel {
    next_number: u64,
    unacknowledged: VecDeque<Sent>,
    next_expected: u64,
    early: BTreeMap<u64, Frame>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    number: u64,
    frame: Frame,
    due: Instant,
    timeout: Duration,
}

impl Channel {
    /// Numbers a frame and gives the datagram that carries it.
    pub fn send(&mut self, frame: Frame, now: Instant) -> FrameDatagram {
        let number = self.next_number;
        self.next_number += 1;
        self.unacknowledged.push_back(Sent {
            number,
            frame,
            due: now + PROBE_TIMEOUT,
            timeout: PROBE_TIMEOUT,
        });
        self.datagram(Some((number, frame)))
    }

    /// Takes a datagram in and gives the frames that are next in order.
    pub fn receive(&mut self, datagram: &FrameDatagram) -> Vec<Frame> {
        let acknowledged = datagram.acknowledged;
        self.unacknowledged
            .retain(|sent| sent.number >= acknowledged);
        if let Some((number, frame)) = datagram.frame
            && number >= self.next_expected
        {
            self.early.insert(number, frame);
        }
        let mut frames = Vec::new();
        while let Some(frame) = self.early.remove(&self.next_expected) {
            frames.push(frame);
            self.next_expected += 1;
        }
        frames
    }

    /// The datagram that only acknowledges.
    #[must_use]
    pub fn acknowledgement(&self) -> FrameDatagram {
        self.datagram(None)
    }

    /// Datagrams to send again.
    pub fn resend(&mut self, now: Instant) -> Vec<FrameDatagram> {
        let mut again = Vec::new();
        let due = self
            .unacknowledged
            .iter_mut()
            .filter(|sent| sent.due <= now);
        for sent in due.take(RESEND_BURST) {
            sent.timeout = (sent.timeout * 2).min(MAXIMUM_PROBE_TIMEOUT);
            sent.due = now + sent.timeout;
            again.push((sent.number, sent.frame));
        }
        let datagrams = again.into_iter().map(|frame| self.datagram(Some(frame)));
        datagrams.collect()
    }

    /// Whether everything sent was acknowledged.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.unacknowledged.is_empty()
    }

    fn datagram(&self, frame: Option<(u64, Frame)>) -> FrameDatagram {
        FrameDatagram {
            acknowledged: self.next_expected,
            frame,
        }
    }
}
