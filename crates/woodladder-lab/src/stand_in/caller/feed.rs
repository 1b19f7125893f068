//! A watched feed, which moves to another connection when its server is going away.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::Caller;
use super::feed_stream::FeedStream;
use super::outcome::Outcome;
use super::outcome_log::{FeedEnd, FeedRecord};
use super::tick::Tick;
use crate::stand_in::clock::unix_milliseconds;

#[derive(Debug, Default)]
struct Progress {
    open: AtomicBool,
    ticks: AtomicU64,
    moves: AtomicU64,
}

/// A feed that is being watched. Dropping it ends the feed.
#[derive(Debug)]
pub struct FeedWatch {
    progress: Arc<Progress>,
    stop: watch::Sender<bool>,
    task: JoinHandle<FeedRecord>,
}

impl FeedWatch {
    /// Whether the feed is established now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.progress.open.load(Ordering::Acquire)
    }

    /// Whether the feed is over: broken or never established.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.task.is_finished()
    }

    /// Ticks received so far.
    #[must_use]
    pub fn ticks(&self) -> u64 {
        self.progress.ticks.load(Ordering::Acquire)
    }

    /// How often the feed moved to another connection.
    #[must_use]
    pub fn moves(&self) -> u64 {
        self.progress.moves.load(Ordering::Acquire)
    }

    /// Ends the feed and tells what became of it; `None` when the runtime is shutting down.
    pub async fn end(self) -> Option<FeedRecord> {
        self.stop.send_replace(true);
        self.task.await.ok()
    }
}

/// Watches a feed in a task of its own; the record also goes to the caller's recorder.
pub(super) fn start(caller: Caller) -> FeedWatch {
    let progress = Arc::new(Progress::default());
    let (stop, stopped) = watch::channel(false);
    let watcher = Watcher {
        caller: caller.clone(),
        progress: Arc::clone(&progress),
        stopped,
        tally: Tally::new(&caller.config().service),
    };
    let task = tokio::spawn(async move {
        let record = watcher.run().await;
        caller.shared.recorder.feed(record.clone());
        record
    });
    FeedWatch {
        progress,
        stop,
        task,
    }
}

struct Watcher {
    caller: Caller,
    progress: Arc<Progress>,
    stopped: watch::Receiver<bool>,
    tally: Tally,
}

type Opening = BoxFuture<'static, Result<FeedStream, Outcome>>;

impl Watcher {
    async fn run(mut self) -> FeedRecord {
        let end = match self.establish().await {
            Ok(feed) => self.follow(feed).await,
            Err(end) => end,
        };
        self.progress.open.store(false, Ordering::Release);
        let moves = self.progress.moves.load(Ordering::Acquire);
        self.tally.into_record(moves, end)
    }

    /// Opens the feed, asking again when it is refused.
    async fn establish(&mut self) -> Result<FeedStream, FeedEnd> {
        let mut attempt = 1;
        loop {
            let mut stopped = self.stopped.clone();
            let opened = tokio::select! {
                biased;
                _ = stopped.wait_for(|stopped| *stopped) => return Err(FeedEnd::EndedByCaller),
                opened = FeedStream::open(&self.caller) => opened,
            };
            match opened {
                Ok(feed) => {
                    self.tally.opened();
                    self.progress.open.store(true, Ordering::Release);
                    return Ok(feed);
                }
                Err(outcome) if attempt >= self.caller.config().attempts => {
                    return Err(FeedEnd::NeverOpened { outcome });
                }
                Err(outcome) => {
                    let delay = retry_delay(&self.caller, &outcome);
                    tokio::select! {
                        _ = stopped.wait_for(|stopped| *stopped) => {
                            return Err(FeedEnd::EndedByCaller);
                        }
                        () = sleep(delay) => {}
                    }
                    attempt += 1;
                }
            }
        }
    }

    /// Reads ticks; when the server is going away, opens a replacement before the old one is left.
    async fn follow(&mut self, mut feed: FeedStream) -> FeedEnd {
        let mut replacement: Option<Opening> = None;
        let mut stopped = self.stopped.clone();
        let moves = self.caller.config().feeds_move;
        loop {
            let connection = feed.connection();
            tokio::select! {
                biased;
                _ = stopped.wait_for(|stopped| *stopped) => {
                    feed.cancel();
                    return FeedEnd::EndedByCaller;
                }
                tick = feed.next() => match tick {
                    Ok(tick) => self.note(&tick),
                    Err(reason) => return FeedEnd::Broken { reason },
                },
                () = connection.wait_going_away(), if moves && replacement.is_none() => {
                    replacement = Some(open_now(self.caller.clone()));
                }
                opened = wait_opening(&mut replacement) => match opened {
                    Ok(opened) => {
                        std::mem::replace(&mut feed, opened).cancel();
                        replacement = None;
                        self.tally.moved();
                        self.progress.moves.fetch_add(1, Ordering::AcqRel);
                    }
                    Err(outcome) => {
                        let delay = retry_delay(&self.caller, &outcome);
                        replacement = Some(open_later(self.caller.clone(), delay));
                    }
                },
            }
        }
    }

    fn note(&mut self, tick: &Tick) {
        self.tally.tick(tick);
        self.progress.ticks.fetch_add(1, Ordering::AcqRel);
    }
}

fn retry_delay(caller: &Caller, outcome: &Outcome) -> Duration {
    outcome.retry_after().unwrap_or(caller.config().retry_delay)
}

fn open_now(caller: Caller) -> Opening {
    async move { FeedStream::open(&caller).await }.boxed()
}

fn open_later(caller: Caller, delay: Duration) -> Opening {
    async move {
        sleep(delay).await;
        FeedStream::open(&caller).await
    }
    .boxed()
}

async fn wait_opening(opening: &mut Option<Opening>) -> Result<FeedStream, Outcome> {
    match opening {
        Some(opening) => opening.await,
        None => std::future::pending().await,
    }
}

/// What is counted of a feed.
struct Tally {
    service: String,
    opened_ms: Option<u64>,
    ticks: u64,
    wrong_service_ticks: u64,
    gaps: u64,
    expected: Option<u64>,
    last_heard: Instant,
    longest_silence: Duration,
}

impl Tally {
    fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            opened_ms: None,
            ticks: 0,
            wrong_service_ticks: 0,
            gaps: 0,
            expected: None,
            last_heard: Instant::now(),
            longest_silence: Duration::ZERO,
        }
    }

    fn opened(&mut self) {
        self.opened_ms = Some(unix_milliseconds());
        self.last_heard = Instant::now();
    }

    /// The next tick comes from another connection and starts a new count.
    fn moved(&mut self) {
        self.expected = None;
    }

    fn tick(&mut self, tick: &Tick) {
        let now = Instant::now();
        self.longest_silence = self.longest_silence.max(now - self.last_heard);
        self.last_heard = now;
        self.ticks += 1;
        if tick.service != self.service {
            self.wrong_service_ticks += 1;
        }
        if self
            .expected
            .is_some_and(|expected| expected != tick.number)
        {
            self.gaps += 1;
        }
        self.expected = Some(tick.number + 1);
    }

    fn into_record(self, moves: u64, end: FeedEnd) -> FeedRecord {
        FeedRecord {
            service: self.service,
            opened_ms: self.opened_ms,
            ended_ms: unix_milliseconds(),
            ticks: self.ticks,
            wrong_service_ticks: self.wrong_service_ticks,
            gaps: self.gaps,
            longest_silence_ms: u64::try_from(self.longest_silence.as_millis()).unwrap_or(u64::MAX),
            moves,
            end,
        }
    }
}
