//! What happens in one deployment during the demo, step by step.

use std::io;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use woodladder_core::identifier::TargetId;

use super::administration::Administration;
use super::cluster::Cluster;
use super::error::ClusterError;
use super::evidence::{self, Times};
use super::plan::{BACK_END_ADMIN_PORT, Machine};
use super::process::{DemoProcess, StopResult};
use super::report::DeploymentReport;
use super::surge::Callers;
use crate::stand_in::clock::unix_milliseconds;

/// Share of the surge after which the second bundle is rolled.
const ROLL_AT: f64 = 0.25;
/// Share of the surge after which a balancer is stopped.
const BALANCER_STOP_AT: f64 = 0.45;
/// Share of the surge after which a back end and its agent are stopped.
const BACK_END_STOP_AT: f64 = 0.6;
/// Longest time for a planned stop whose work has ended.
const STOP_LIMIT: Duration = Duration::from_secs(12);
/// Position of the balancer that is stopped.
const STOPPED_BALANCER: usize = 0;

/// Prints what happens.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    deployment: &'static str,
    shown: bool,
    started: Instant,
}

impl Progress {
    /// Progress of one deployment, counted from now.
    #[must_use]
    pub fn new(deployment: &'static str, shown: bool) -> Self {
        Self {
            deployment,
            shown,
            started: Instant::now(),
        }
    }

    fn say(&self, message: &str) {
        if self.shown {
            let seconds = self.started.elapsed().as_secs_f64();
            eprintln!("demo: {seconds:5.1} s  {:<7} {message}", self.deployment);
        }
    }
}

/// Runs the story of one deployment.
///
/// # Errors
/// [`ClusterError`] when the deployment cannot be brought up.
pub async fn run(
    cluster: Cluster,
    surge: Duration,
    progress: Progress,
) -> Result<DeploymentReport, ClusterError> {
    let mut story = Story::new(cluster, surge, progress)?;
    story.bring_up().await?;
    story.open_feeds().await;
    story.run_surge().await;
    story.callers.end_feeds().await;
    story.check_processes().await;
    Ok(story.report().await)
}

/// A deployment on its way through the demo.
struct Story {
    cluster: Cluster,
    client: Administration,
    callers: Callers,
    surge: Duration,
    progress: Progress,
    times: Times,
    failures: Vec<String>,
}

impl Story {
    fn new(cluster: Cluster, surge: Duration, progress: Progress) -> Result<Self, ClusterError> {
        let client = Administration::new().map_err(io::Error::other)?;
        let callers = Callers::new(&cluster).map_err(io::Error::other)?;
        Ok(Self {
            cluster,
            client,
            callers,
            surge,
            progress,
            times: Times::default(),
            failures: Vec::new(),
        })
    }

    /// Waits for the processes and rolls the first bundle.
    async fn bring_up(&mut self) -> Result<(), ClusterError> {
        self.progress.say("waiting for the processes");
        self.cluster.wait_started(&self.client).await?;
        self.cluster.sign_and_roll(1).await?;
        self.cluster.wait_ready(&self.client).await?;
        self.progress.say("bundle 1 is in force");
        Ok(())
    }

    async fn open_feeds(&mut self) {
        let feeds = self.callers.open_feeds(&self.cluster).await;
        self.progress.say(&format!(
            "{} of {} feeds are open",
            feeds.open, feeds.wanted
        ));
    }

    /// Runs the surge, with the planned changes in its middle.
    async fn run_surge(&mut self) {
        self.times.surge_started = unix_milliseconds();
        let start = Instant::now();
        let end = start + self.surge;
        let mut requests = self.callers.start_surge(&self.cluster, end);
        self.progress.say("the surge has started");

        sleep_until(start + self.surge.mul_f64(ROLL_AT)).await;
        self.roll_second_bundle().await;
        sleep_until(start + self.surge.mul_f64(BALANCER_STOP_AT)).await;
        self.cluster.balancers[STOPPED_BALANCER].terminate();
        self.progress.say("balancer 1 was asked to stop");
        sleep_until(start + self.surge.mul_f64(BACK_END_STOP_AT)).await;
        self.stop_back_end().await;

        while requests.join_next().await.is_some() {}
        self.times.surge_ended = unix_milliseconds();
        let feeds = self.callers.feed_count();
        self.progress.say(&format!(
            "the surge is over; {} of {} feeds are open",
            feeds.open, feeds.wanted
        ));
    }

    async fn roll_second_bundle(&mut self) {
        if let Err(error) = self.cluster.sign_and_roll(2).await {
            self.failures.push(error.to_string());
        }
        let leaving = self.cluster.deployment.example.leaving_target;
        self.tell_back_end_to_leave(leaving).await;
        self.progress
            .say(&format!("bundle 2 is in force; target {leaving} leaves"));
    }

    /// Stops a back end and the agent beside it as planned.
    async fn stop_back_end(&mut self) {
        let stopped = self.cluster.deployment.example.stopped_target;
        self.tell_back_end_to_leave(stopped).await;
        if let Some(agent) = self.stopped_agent() {
            self.cluster.agents[agent].terminate();
        }
        self.progress.say(&format!(
            "target {stopped} and its agent were asked to stop"
        ));
    }

    async fn tell_back_end_to_leave(&mut self, target: u32) {
        let id = TargetId(target);
        let Some(entry) = self.cluster.deployment.bundle.target(id) else {
            self.failures
                .push(format!("target {target} is not in the bundle"));
            return;
        };
        let address = Machine::of(entry.address).at(BACK_END_ADMIN_PORT);
        self.times.leaving.insert(id, unix_milliseconds());
        if let Err(error) = self.client.command(address, "/drain").await {
            self.failures
                .push(format!("back end {target} was not told to leave: {error}"));
        }
    }

    /// Checks that the processes which were asked to stop ended by themselves,
    /// and that no other has ended.
    async fn check_processes(&mut self) {
        let stopped = self.stopped_agent();
        let balancer = &mut self.cluster.balancers[STOPPED_BALANCER];
        let result = balancer.wait(STOP_LIMIT).await;
        check_stop("balancer 1", result, &mut self.failures);
        if let Some(agent) = stopped {
            let result = self.cluster.agents[agent].wait(STOP_LIMIT).await;
            check_stop("the stopped agent", result, &mut self.failures);
        }
        for (index, balancer) in self.cluster.balancers.iter_mut().enumerate() {
            if index != STOPPED_BALANCER {
                check_running(balancer, &mut self.failures);
            }
        }
        for (index, agent) in self.cluster.agents.iter_mut().enumerate() {
            if Some(index) != stopped {
                check_running(agent, &mut self.failures);
            }
        }
    }

    /// Stops everything and joins the logs.
    async fn report(mut self) -> DeploymentReport {
        let logs = evidence::execution_logs(&self.cluster, &self.client).await;
        let logs = logs.unwrap_or_else(|error| {
            self.failures
                .push(format!("a back end's log cannot be read: {error}"));
            Vec::new()
        });
        self.cluster.terminate();
        self.progress.say("the logs are joined");
        let callers = self.callers.log();
        evidence::report(&self.cluster, logs, callers, &self.times, self.failures)
    }

    /// Position of the agent that is stopped.
    fn stopped_agent(&self) -> Option<usize> {
        let deployment = &self.cluster.deployment;
        let stopped = TargetId(deployment.example.stopped_target);
        let mut targets = deployment.bundle.targets.iter();
        targets.position(|entry| entry.id == stopped)
    }
}

fn check_stop(name: &str, result: StopResult, failures: &mut Vec<String>) {
    match result {
        StopResult::Clean => {}
        StopResult::Failed(code) => failures.push(format!("{name} ended with {code:?}")),
        StopResult::StillRunning => failures.push(format!("{name} did not end by itself")),
    }
}

fn check_running(process: &mut DemoProcess, failures: &mut Vec<String>) {
    if let Ok(Some(status)) = process.ended() {
        failures.push(format!("{} ended too early: {status}", process.name));
    }
}
