//! Figures as a table.

use std::fmt;

use super::{DeploymentFigures, FlowFigures, ScenarioFigures, Slopes, SocketFigures};

impl fmt::Display for DeploymentFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} balancers and {} agents, {} targets behind {} services; snapshot {} bytes; \
             resident {} KB a node, {} KB after all courses",
            self.size.balancers,
            self.size.agents,
            self.size.targets,
            self.size.services,
            self.snapshot_length,
            self.resident_per_node / 1024,
            self.resident_per_node_at_end / 1024,
        )?;
        writeln!(
            formatter,
            "{:<11} {:>7} {:>5} {:>7} {:>8} {:>7} {:>6} {:>8} {:>8} {:>6} {:>7} {:>17} {:>8} {:>17} {:>8} {:>7} {:>9}",
            "scenario",
            "seconds",
            "rolls",
            "B/s",
            "list B/s",
            "max B/s",
            "msg/s",
            "core %",
            "max %",
            "read/s",
            "refused",
            "in force s",
            "caught up",
            "ready s",
            "start KB",
            "settled",
            "outage",
        )?;
        writeln!(
            formatter,
            "(in force and ready: median/99th percentile/longest)"
        )?;
        for scenario in &self.scenarios {
            writeln!(formatter, "{scenario}")?;
        }
        if let Some(slopes) = Slopes::of(self) {
            writeln!(formatter, "{slopes}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ScenarioFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let in_force = &self.in_force;
        let ready = &self.ready;
        let settled = self
            .settled_after
            .map_or("never".to_owned(), |seconds| format!("{seconds:.1}"));
        let served = self.served_in_outage.map_or(String::new(), |served| {
            format!("{}/{}", served.ready, served.up)
        });
        write!(
            formatter,
            "{:<11} {:>7.0} {:>5} {:>7.0} {:>8.0} {:>7.0} {:>6.1} {:>8.4} {:>8.4} {:>6.2} {:>7} {:>17} {:>8.2} {:>17} {:>8.0} {:>7} {:>9}",
            format!("{:?}", self.scenario),
            self.virtual_seconds,
            self.rolls,
            self.bytes_per_second,
            self.list_bytes_per_second,
            self.greatest_bytes_per_second,
            self.messages_per_second,
            self.processor_share * 100.0,
            self.greatest_processor_share * 100.0,
            self.store_reads_per_second,
            self.store_reads_refused,
            format!(
                "{:.2}/{:.2}/{:.2}",
                in_force.median, in_force.p99, in_force.longest
            ),
            self.caught_up.longest,
            format!("{:.2}/{:.2}/{:.2}", ready.median, ready.p99, ready.longest),
            self.bytes_until_ready / 1024.0,
            settled,
            served,
        )
    }
}

impl fmt::Display for SocketFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} nodes over loopback sockets, {} targets: started after {:.2} s; steady {:.4}% of \
             a core a node; a roll {:.2} ms of a core a node, in force after \
             {:.2}/{:.2}/{:.2} s (median/99th percentile/longest)",
            self.nodes,
            self.targets,
            self.started_after,
            self.steady_processor_share * 100.0,
            self.processor_seconds_per_roll * 1000.0,
            self.in_force.median,
            self.in_force.p99,
            self.in_force.longest,
        )
    }
}

impl fmt::Display for FlowFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} flows with an open event stream at {} agents: {} bytes of resident memory a \
             flow; an agent takes {} KB before them",
            self.flows,
            self.agents,
            self.resident_bytes_per_flow,
            self.resident_before / 1024,
        )
    }
}
