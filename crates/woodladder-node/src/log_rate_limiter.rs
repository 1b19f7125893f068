//! Limits the rate of log lines, by kind: a token bucket for each kind of line.

use std::collections::BTreeMap;

use woodladder_core::clock::Instant;

/// Limit for each kind of ordinary decision, in lines per second.
const ORDINARY_LINES_PER_SECOND: f64 = 200.0;
/// Limit for each kind of important decision, in lines per second.
const IMPORTANT_LINES_PER_SECOND: f64 = 400.0;
/// Capacity of a token bucket, in seconds: the bucket holds the lines that its rate allows
/// in this time.
const BURST_SECONDS: f64 = 4.0;

/// Importance of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Importance {
    /// A step in the normal handling of a request.
    Ordinary,
    /// A request fails or moves to another target, or the state that the node has recorded
    /// of other nodes, targets or settings changes.
    Important,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
    left_out: u64,
}

/// Rate limits of log lines, by kind.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimiter {
    buckets: BTreeMap<&'static str, TokenBucket>,
}

impl LogRateLimiter {
    /// Decides whether a line of this kind may be written. Returns the number of lines of
    /// the kind that were left out since the last one, or `None` when this line must be
    /// left out too.
    pub fn allow(
        &mut self,
        event_name: &'static str,
        importance: Importance,
        now: Instant,
    ) -> Option<u64> {
        let rate = match importance {
            Importance::Ordinary => ORDINARY_LINES_PER_SECOND,
            Importance::Important => IMPORTANT_LINES_PER_SECOND,
        };
        let capacity = rate * BURST_SECONDS;
        let bucket = self.buckets.entry(event_name).or_insert(TokenBucket {
            tokens: capacity,
            refilled_at: now,
            left_out: 0,
        });
        let elapsed = now.since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(capacity);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.left_out += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.left_out))
    }
}
