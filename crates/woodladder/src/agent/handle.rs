//! Starting an agent, and the handle that steers it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quinn::{Endpoint, TokioRuntime, VarInt};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, timeout};
use volo_http::error::ClientError;
use woodladder_core::target::admission::{AdmissionOptions, TargetIdentity};
use woodladder_core::target::drain::{Drain, DrainEvent, DrainReason};
use woodladder_core::target::request::RequestOptions;
use woodladder_core::target::slow_start::SlowStart;

use super::acceptor;
use super::back_end::BackEnd;
use super::clock::Clock;
use super::config::{AgentConfig, Limits};
use super::connection::CLOSE_DELAY;
use super::control::{Control, SharedState};
use super::counters::{AgentStatus, Counters};
use super::egress::Egress;
use super::gate::Gate;
use super::health;
use super::quic::{self, QuicConfigError};
use super::request_desk::{self, RequestDesk};
use super::shared::Shared;
use super::shared_drain::Notice;
use super::socket::AgentSocket;

/// How often the agent looks at the directory and the drain's clock.
const TICK: Duration = Duration::from_millis(100);
/// How long a drained agent waits for its callers to know.
const CLOSE_PATIENCE: Duration = CLOSE_DELAY.saturating_mul(4);
/// H3_NO_ERROR (RFC 9114, section 8.1).
const NO_ERROR: VarInt = VarInt::from_u32(0x100);

/// Starts agents.
#[derive(Debug)]
pub struct Agent;

/// A running agent; dropping the handle does not stop it.
#[derive(Clone)]
pub struct AgentHandle {
    endpoint: Endpoint,
    gate: Arc<Gate>,
    shared: Arc<Shared>,
}

/// Why an agent cannot start.
#[derive(Debug)]
pub enum AgentStartError {
    /// The socket cannot be used.
    Socket(io::Error),
    /// QUIC cannot be set up.
    Quic(QuicConfigError),
    /// The client for the back end cannot be set up.
    BackEnd(ClientError),
    /// The fabric has no address to send answers to.
    NoEgress,
}

impl Agent {
    /// Starts an agent on the running Tokio runtime.
    ///
    /// # Errors
    /// [`StartError`] when the socket, the certificate or the client for the
    /// back end cannot be used.
    pub fn start(config: AgentConfig) -> Result<AgentHandle, AgentStartError> {
        if config.fabric_egress.is_empty() {
            return Err(AgentStartError::NoEgress);
        }
        let limits = config.limits;
        let server =
            quic::server_config(&config.certificate, &limits).map_err(AgentStartError::Quic)?;
        let endpoint = quic::endpoint_config(config.target, config.keys.token, config.keys.reset)
            .map_err(AgentStartError::Quic)?;
        let back_end = BackEnd::new(config.back_end).map_err(AgentStartError::BackEnd)?;
        config
            .socket
            .set_nonblocking(true)
            .map_err(AgentStartError::Socket)?;
        let io = UdpSocket::from_std(config.socket).map_err(AgentStartError::Socket)?;

        let counters = Arc::new(Counters::default());
        let clock = Clock::start();
        let desk = Arc::new(desk(clock, &limits));
        let control = Arc::new(Control::new(
            TargetIdentity {
                target: config.target,
                service: config.service,
            },
            config.keys.token,
            AdmissionOptions::default(),
            Drain::new(limits.drain_grace),
            SharedState {
                directory: config.directory,
                clock,
                desk: Arc::clone(&desk),
                counters: Arc::clone(&counters),
                connection_limit: limits.connections,
                logger: config.logger.clone(),
            },
        ));
        let gate = Arc::new(Gate::new(Arc::clone(&control), Arc::clone(&counters)));
        let socket = AgentSocket::new(
            io,
            config.keys.envelope,
            Arc::clone(&gate),
            Egress::new(config.fabric_egress),
            Arc::clone(&counters),
        );
        let endpoint = Endpoint::new_with_abstract_socket(
            endpoint,
            Some(server),
            Arc::new(socket),
            Arc::new(TokioRuntime),
        )
        .map_err(AgentStartError::Socket)?;
        let shared = Arc::new(Shared {
            limits,
            clock,
            back_end,
            desk,
            counters,
            control,
            logger: config.logger,
        });
        let handle = AgentHandle {
            endpoint,
            gate,
            shared,
        };
        handle.spawn(config.health_path);
        Ok(handle)
    }
}

impl AgentHandle {
    /// Address of the data socket.
    ///
    /// # Errors
    /// The socket's error.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// A reason to leave holds: no new flows from now on, no new requests
    /// after a grace, while requests and feeds that run go on.
    pub fn begin_drain(&self, reason: DrainReason) {
        self.shared.control.drain(DrainEvent::AddReason(reason));
    }

    /// A reason to leave holds no longer.
    pub fn withdraw_drain(&self, reason: DrainReason) {
        self.shared.control.drain(DrainEvent::RemoveReason(reason));
    }

    /// Waits until the agent leaves and its last request has ended, and until
    /// callers know so, which takes a bounded time.
    pub async fn wait_until_drained(&self) {
        let mut notices = self.shared.control.notices();
        // The sender lives as long as this handle.
        let _ = notices.wait_for(|notice| *notice == Notice::Drained).await;
        // Connections close by themselves; what is left is closed by the stop.
        let _ = timeout(CLOSE_PATIENCE, self.endpoint.wait_idle()).await;
    }

    /// What the agent does now.
    #[must_use]
    pub fn status(&self) -> AgentStatus {
        let Shared {
            desk,
            counters,
            control,
            ..
        } = &*self.shared;
        let counts = desk.counts();
        AgentStatus {
            drain_phase: control.phase(),
            newest_sequence_seen: self.gate.newest_sequence(),
            flows: counters.flows(),
            drops: counters.drops(),
            busy_slots: counts.busy,
            slots: desk.slots(),
            effective_slots: desk.effective_slots().whole(),
            queued_requests: counts.queued,
            connections: counters.connections.load(Ordering::Acquire),
            open_requests: counters.requests.load(Ordering::Acquire),
            feeds: counters.feeds.load(Ordering::Acquire),
            request_outcomes: counters.ends(),
        }
    }

    /// Closes all connections and the endpoint at once.
    pub async fn close(&self) {
        self.endpoint.close(NO_ERROR, &[]);
        self.endpoint.wait_idle().await;
    }

    fn spawn(&self, health_path: Option<String>) {
        let gate = Arc::clone(&self.gate);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(acceptor::run(self.endpoint.clone(), gate, shared));
        tokio::spawn(tick(Arc::downgrade(&self.shared.control)));
        let desk = Arc::downgrade(&self.shared.desk);
        tokio::spawn(request_desk::watch_clock(desk));
        if let Some(path) = health_path {
            let control = Arc::downgrade(&self.shared.control);
            tokio::spawn(health::follow(self.shared.back_end.clone(), path, control));
        }
    }
}

fn desk(clock: Clock, limits: &Limits) -> RequestDesk {
    let options = RequestOptions {
        queue_limit: limits.queue,
        connection_limit: limits.connections,
        minimum_retry_after: limits.minimum_retry_after,
        ..RequestOptions::default()
    };
    let slow_start = limits
        .slow_start
        .map(|options| SlowStart::new(options, clock.now()));
    let random = ChaCha8Rng::seed_from_u64(rand::random());
    RequestDesk::new(clock, options, limits.slots, slow_start, random)
}

async fn tick(control: std::sync::Weak<Control>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(control) = control.upgrade() else {
            return;
        };
        control.tick();
    }
}

impl fmt::Display for AgentStartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Socket(error) => write!(formatter, "the data socket cannot be used: {error}"),
            Self::Quic(error) => write!(formatter, "QUIC cannot be set up: {error}"),
            Self::BackEnd(error) => {
                write!(formatter, "the back end's client cannot be set up: {error}")
            }
            Self::NoEgress => formatter.write_str("the fabric has no address for answers"),
        }
    }
}

impl std::error::Error for AgentStartError {}
