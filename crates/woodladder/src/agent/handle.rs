//! Starts an agent and gives out the handle that controls it.

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
use super::admission_control::{AdmissionContext, AdmissionControl};
use super::agent_context::AgentContext;
use super::back_end::BackEnd;
use super::clock::Clock;
use super::config::{AgentConfig, Limits};
use super::connection::CLOSE_DELAY;
use super::counters::{AgentStatus, Counters};
use super::egress::Egress;
use super::health;
use super::ingress::Ingress;
use super::quic::{self, QuicConfigError};
use super::request_scheduler::{self, RequestScheduler};
use super::shared_drain::DrainStage;
use super::socket::AgentSocket;

/// Interval at which the agent checks the configuration in force and advances
/// the drain's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that an agent waits for its connections to close: when it has
/// drained, each [`CLOSE_DELAY`] after its last GOAWAY, and when it closes them.
const CLOSE_TIMEOUT: Duration = CLOSE_DELAY.saturating_mul(4);
/// Error code H3_NO_ERROR (RFC 9114, section 8.1).
const H3_NO_ERROR: VarInt = VarInt::from_u32(0x100);

/// Entry point; see [`Agent::start`].
#[derive(Debug)]
pub struct Agent;

/// A running agent; dropping the handle does not stop it.
#[derive(Clone)]
pub struct AgentHandle {
    endpoint: Endpoint,
    ingress: Arc<Ingress>,
    context: Arc<AgentContext>,
}

/// Why an agent cannot start.
#[derive(Debug)]
pub enum AgentStartError {
    /// The data socket cannot be used.
    Socket(io::Error),
    /// QUIC cannot be set up.
    Quic(QuicConfigError),
    /// The client for the back end cannot be set up.
    BackEnd(ClientError),
    /// No fabric address is configured for datagrams to callers.
    NoEgress,
}

impl Agent {
    /// Starts an agent on the running Tokio runtime.
    ///
    /// # Errors
    /// [`AgentStartError`] when the socket, the certificate or the client for
    /// the back end cannot be used, when the QUIC library rejects a limit, or
    /// when no fabric address is configured.
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
        let scheduler = Arc::new(new_scheduler(clock, &limits));
        let admission_control = Arc::new(AdmissionControl::new(
            TargetIdentity {
                target: config.target,
                service: config.service,
            },
            config.keys.token,
            AdmissionOptions::default(),
            Drain::new(limits.drain_grace),
            AdmissionContext {
                routing_table: config.routing_table,
                clock,
                scheduler: Arc::clone(&scheduler),
                counters: Arc::clone(&counters),
                connection_limit: limits.connections,
                logger: config.logger.clone(),
            },
        ));
        let ingress = Arc::new(Ingress::new(
            Arc::clone(&admission_control),
            Arc::clone(&counters),
        ));
        let socket = AgentSocket::new(
            io,
            config.keys.envelope,
            Arc::clone(&ingress),
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
        let context = Arc::new(AgentContext {
            limits,
            clock,
            back_end,
            scheduler,
            counters,
            admission_control,
            logger: config.logger,
        });
        let handle = AgentHandle {
            endpoint,
            ingress,
            context,
        };
        handle.spawn_tasks(config.health_path);
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

    /// Starts draining for `reason`, next to any reasons already in effect.
    /// From now on no new flows are accepted, and after a grace period no new
    /// requests either. Running requests and feeds continue.
    pub fn begin_drain(&self, reason: DrainReason) {
        self.context
            .admission_control
            .report_drain_event(DrainEvent::AddReason(reason));
    }

    /// Withdraws `reason`. When no reason is left, new flows and requests are
    /// accepted again.
    pub fn withdraw_drain(&self, reason: DrainReason) {
        self.context
            .admission_control
            .report_drain_event(DrainEvent::RemoveReason(reason));
    }

    /// Waits until the agent has drained: a reason to drain is in effect, and
    /// the last request has ended. Then waits a bounded time for the agent's
    /// connections to close.
    pub async fn wait_until_drained(&self) {
        let mut stages = self.context.admission_control.subscribe_stage();
        // Waiting cannot fail, because the handle keeps the sender alive.
        let _ = stages.wait_for(|stage| *stage == DrainStage::Drained).await;
        // Connections close by themselves after the last GOAWAY; `close` ends
        // those that remain after this timeout.
        let _ = timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    /// Current state and counters.
    #[must_use]
    pub fn status(&self) -> AgentStatus {
        let AgentContext {
            scheduler,
            counters,
            admission_control,
            ..
        } = &*self.context;
        let counts = scheduler.counts();
        AgentStatus {
            drain: admission_control.drain_state(),
            newest_sequence_seen: self.ingress.newest_sequence(),
            flows: counters.flow_counts(),
            drops: counters.drop_counts(),
            busy_slots: counts.busy,
            slots: scheduler.slots(),
            effective_slots: scheduler.effective_slots().whole(),
            queued_requests: counts.queued,
            transport_connections: self.endpoint.open_connections(),
            connections: counters.open_connections.count(),
            open_requests: counters.open_requests.count(),
            oldest_connection: counters.open_connections.oldest(),
            oldest_request: counters.open_requests.oldest(),
            feeds: counters.open_feeds.load(Ordering::Acquire),
            request_outcomes: counters.outcome_counts(),
        }
    }

    /// Closes all connections and the endpoint at once. Waits a bounded time for
    /// the transport to discard them, which takes it three probe timeouts of each
    /// connection; the callers are told before that.
    pub async fn close(&self) {
        self.endpoint.close(H3_NO_ERROR, &[]);
        let _ = timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    fn spawn_tasks(&self, health_path: Option<String>) {
        let ingress = Arc::clone(&self.ingress);
        let context = Arc::clone(&self.context);
        tokio::spawn(acceptor::run(self.endpoint.clone(), ingress, context));
        tokio::spawn(run_ticks(Arc::downgrade(&self.context.admission_control)));
        let scheduler = Arc::downgrade(&self.context.scheduler);
        tokio::spawn(request_scheduler::run_timer(scheduler));
        if let Some(path) = health_path {
            let admission_control = Arc::downgrade(&self.context.admission_control);
            tokio::spawn(health::poll_health(
                self.context.back_end.clone(),
                path,
                admission_control,
            ));
        }
    }
}

fn new_scheduler(clock: Clock, limits: &Limits) -> RequestScheduler {
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
    RequestScheduler::new(clock, options, limits.slots, slow_start, random)
}

async fn run_ticks(admission_control: std::sync::Weak<AdmissionControl>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(admission_control) = admission_control.upgrade() else {
            return;
        };
        admission_control.tick();
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
            Self::NoEgress => {
                formatter.write_str("no fabric address is configured for datagrams to callers")
            }
        }
    }
}

impl std::error::Error for AgentStartError {}
