//! The configurations that the operators of a soak write, and the probing caller that sees which
//! one each balancer uses.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::Instant;

use super::probe::ProbeMachine;
use super::site::{BALANCERS, SiteError, added_route, kitchen_route, moved_route, print_route};
use super::soak::{Soak, SoakCourse};

/// Machine of the probing caller.
const PROBE_MACHINE: u8 = 104;
/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

impl Soak {
    /// Writes the next configuration, in which one route comes or goes and another one moves
    /// to the other service.
    pub(super) fn configure(&mut self) {
        self.configurations += 1;
        self.write_configuration();
    }

    /// Writes a configuration that differs from the last one in a route without callers.
    pub(super) fn configure_unrelated(&mut self) {
        self.unrelated_changes = self.unrelated_changes.wrapping_add(1).max(1);
        self.write_configuration();
    }

    /// Starts the probing caller, which sends openings straight to each balancer until `until`.
    ///
    /// # Errors
    /// [`SiteError`] when the system refuses it.
    pub(super) async fn start_probes(&self, until: Instant) -> Result<(), SiteError> {
        let oracle = Rc::clone(&self.site.oracle);
        let probes = ProbeMachine::open(self.site.network, PROBE_MACHINE, oracle).await?;
        spawn_local(Rc::clone(&probes).receive());
        let mut routes = vec![kitchen_route(), print_route(), moved_route(), added_route()];
        routes.extend(slow_routes());
        spawn_local(probes.probe(BALANCERS.to_vec(), routes, PROBE_INTERVAL, false, until));
        Ok(())
    }

    fn write_configuration(&mut self) {
        let is_odd = self.configurations % 2 == 1;
        let moved_to = if is_odd { "print" } else { "kitchen" };
        let mut routes = vec![
            (kitchen_route(), "kitchen"),
            (print_route(), "print"),
            (moved_route(), moved_to),
        ];
        if is_odd {
            routes.push((added_route(), "print"));
        }
        if self.course == SoakCourse::SilentConnections {
            routes.extend(self.slow_changes());
        }
        if self.unrelated_changes > 0 {
            routes.push((unrelated_route(self.unrelated_changes), "kitchen"));
        }
        self.site.configure(&routes);
    }

    /// Routes that change less often than those of the callers, so that a configuration differs
    /// from each of the seven before it: one moves, and one comes or goes.
    fn slow_changes(&self) -> Vec<(SocketAddrV4, &'static str)> {
        let [moved, added] = slow_routes();
        let moved_to = if self.configurations & 2 == 0 {
            "kitchen"
        } else {
            "print"
        };
        let mut routes = vec![(moved, moved_to)];
        if self.configurations & 4 != 0 {
            routes.push((added, "kitchen"));
        }
        routes
    }
}

/// Addresses of a route that moves, and of one that comes and goes, with every second and every
/// fourth configuration.
fn slow_routes() -> [SocketAddrV4; 2] {
    [5, 6].map(|number| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443))
}

/// Address of a route that has no callers.
fn unrelated_route(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, number), 443)
}
