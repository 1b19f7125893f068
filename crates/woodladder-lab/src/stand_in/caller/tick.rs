//! Ticks of a feed, cut out of its event stream. No I/O.

use bytes::BytesMut;

const EVENT_END: &[u8] = b"\n\n";
const DATA_FIELD: &str = "data: ";

/// Longest event kept while its end has not come, in bytes.
const EVENT_LIMIT: usize = 64 * 1024;

/// One tick.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Tick {
    pub(super) service: String,
    pub(super) number: u64,
}

#[derive(Debug, Default)]
pub(super) struct TickParser {
    pending: BytesMut,
}

impl TickParser {
    /// Adds received bytes; an event that never ends is dropped.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > EVENT_LIMIT {
            self.pending.clear();
        }
    }

    /// The next whole tick; events of another form are skipped.
    pub(super) fn next(&mut self) -> Option<Tick> {
        loop {
            let end = self
                .pending
                .windows(EVENT_END.len())
                .position(|window| window == EVENT_END)?;
            let event = self.pending.split_to(end + EVENT_END.len());
            if let Some(tick) = parse(&event[..end]) {
                return Some(tick);
            }
        }
    }
}

fn parse(event: &[u8]) -> Option<Tick> {
    let text = std::str::from_utf8(event).ok()?;
    let (service, number) = text.strip_prefix(DATA_FIELD)?.split_once(' ')?;
    Some(Tick {
        service: service.to_owned(),
        number: number.parse().ok()?,
    })
}
