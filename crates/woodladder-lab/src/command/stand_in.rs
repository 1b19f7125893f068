//! `woodladder-lab stand-in`: one stand-in as a process of its own.

mod back_end;
mod fabric;
mod fault_proxy;
mod machine_list;
mod ready;
mod store;

use std::future::Future;
use std::io;
use std::process::ExitCode;

use clap::{Args, Subcommand};
use tokio::signal::unix::{SignalKind, signal};
use woodladder_lab::stand_in::error::StandInError;

/// Options common to all stand-ins, and the stand-in to run.
#[derive(Args, Debug)]
#[command(after_help = "Example:\n  \
    woodladder-lab stand-in store --address 127.0.0.1:8500\n  \
    woodladder-lab stand-in fabric --service-address 127.0.0.1:4433 \\\n    \
    --balancer 127.0.0.1:7001/127.0.0.1:7101 --one-way-delay 1ms")]
pub struct StandInCommand {
    /// Threads which carry out requests.
    #[arg(long, default_value_t = 2, global = true)]
    threads: usize,

    #[command(subcommand)]
    stand_in: StandIn,
}

#[derive(Debug, Subcommand)]
enum StandIn {
    /// Carry callers' datagrams to balancers and agents' answers back.
    Fabric(fabric::FabricArguments),
    /// Serve keys with compare-and-swap, sessions and blocking reads.
    Store(store::StoreArguments),
    /// Serve a lagging list of machines.
    MachineList(machine_list::MachineListArguments),
    /// Serve operations, sheets and feeds.
    BackEnd(back_end::BackEndArguments),
    /// Relay UDP and TCP with loss, delay, cuts and freezes.
    FaultProxy(fault_proxy::FaultProxyArguments),
}

impl StandInCommand {
    /// Runs the stand-in until SIGTERM or SIGINT.
    pub fn run(self) -> ExitCode {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(self.threads.max(1))
            .enable_all()
            .build();
        let result = match runtime {
            Ok(runtime) => runtime.block_on(self.stand_in.run()),
            Err(source) => Err(RunError::System(source)),
        };
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("stand-in: {error}");
                ExitCode::FAILURE
            }
        }
    }
}

impl StandIn {
    async fn run(self) -> Result<(), RunError> {
        match self {
            Self::Fabric(arguments) => fabric::run(arguments).await,
            Self::Store(arguments) => store::run(arguments).await,
            Self::MachineList(arguments) => machine_list::run(arguments).await,
            Self::BackEnd(arguments) => back_end::run(arguments).await,
            Self::FaultProxy(arguments) => fault_proxy::run(arguments).await,
        }
    }
}

/// Why a stand-in's process failed.
#[derive(Debug)]
enum RunError {
    /// The stand-in could not be started.
    Start(StandInError),
    /// The operating system refused the runtime, a signal handler or the output.
    System(io::Error),
}

impl std::fmt::Display for RunError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Start(error) => error.fmt(formatter),
            Self::System(error) => error.fmt(formatter),
        }
    }
}

impl From<StandInError> for RunError {
    fn from(error: StandInError) -> Self {
        Self::Start(error)
    }
}

impl From<io::Error> for RunError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

/// A wait for SIGTERM or SIGINT; the handlers are in place when this returns.
fn stop_signal() -> Result<impl Future<Output = ()>, RunError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
