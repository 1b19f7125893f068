//! Nodes and targets that start, and the operators' configuration.

use super::*;

impl World {
    pub(super) fn new_balancer(&mut self, index: usize) -> Balancer {
        let options = BalancerOptions {
            address: balancer_address(index),
            zone: ZoneKey::default(),
            cpu_millicores: self.capacities[index],
            link_rate_kbps: None,
            flow_capacity: 10_000,
            flow_retention: Duration::from_secs(30),
            flow_lifetime: Duration::from_secs(60),
            change_bound: Duration::from_secs(5),
        };
        let mut balancer = Balancer::new(options, self.now);
        let mut actions = Vec::new();
        if self.store_is_up {
            balancer.adopt_store_configuration(Arc::clone(&self.configuration));
            let all: Vec<NodeAddress> = (0..BALANCERS).map(balancer_address).collect();
            balancer.add_listed_balancers(&all, self.now, &mut actions);
        }
        balancer.add_listed_balancers(&[balancer_address(0)], self.now, &mut actions);
        self.versions.remove(&options.address);
        self.carry_out(options.address, actions);
        balancer
    }

    pub(super) fn new_agent(&mut self, index: usize) -> Agent {
        let options = AgentOptions {
            address: agent_address(index),
            zone: ZoneKey::default(),
            service: self.assigned[index],
            epoch: self.random.random(),
            flow_capacity: 10_000,
            flow_retention: Duration::from_secs(30),
            flow_lifetime: Duration::from_secs(60),
            warm_up: None,
            records_leavings: false,
        };
        let mut agent = Agent::new(options, self.now);
        let known = if self.store_is_up { BALANCERS } else { 1 };
        let balancers: Vec<NodeAddress> = (0..known).map(balancer_address).collect();
        agent.add_listed_balancers(&balancers, self.now);
        self.versions.remove(&options.address);
        agent
    }

    pub(super) fn new_target(&mut self, index: usize) -> Target {
        self.incarnations += 1;
        Target::new(self.assigned[index], self.incarnations)
    }

    /// Writes the next configuration: the second route leads to either service.
    pub(super) fn configure(&mut self) {
        let version = self.configuration.version + 1;
        let other = if version % 2 == 1 { "print" } else { "kitchen" };
        let mut routes = Vec::new();
        for (number, name) in [(1, "kitchen"), (2, other)] {
            let service = ServiceKey::named(name);
            let services = self.services.entry(route(number)).or_default();
            services.insert(service);
            routes.push(Route {
                address: route(number),
                parts: vec![RoutePart { service, weight: 1 }],
                terms: RouteTerms::default(),
            });
        }
        self.configuration = Arc::new(Configuration {
            version,
            routes,
            services: Vec::new(),
            idle_timeout_ms: 15_000,
        });
    }

    pub(super) fn heartbeat(&mut self, index: usize) {
        self.events
            .push(self.now + HEARTBEAT, Event::Heartbeat(index));
        let target = &mut self.targets[index];
        let Some(agent) = self.agents[index].as_mut() else {
            return;
        };
        if !target.runs {
            return;
        }
        target.beats += 1;
        let beat = Heartbeat {
            incarnation: target.incarnation,
            instance: target.incarnation,
            started_at_ms: None,
            service: target.service,
            leaving: target.leaving,
            slots: 7,
            warm_up_remaining: Duration::ZERO,
            sequence: target.beats,
        };
        if agent.handle_heartbeat(&beat, self.now).is_ok() && target.leaving {
            target.leaving_acknowledged = true;
        }
    }
}
