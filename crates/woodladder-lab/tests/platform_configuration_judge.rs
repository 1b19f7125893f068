//! The judge of probing callers' openings reports a product broken on purpose, and excuses no
//! more than the users' rules do.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use nix::sys::signal::Signal;
use woodladder_lab::platform::{ConfigurationJudge, LastingFault, OlderUse};

const STORE: u8 = 1;
const BALANCER: u8 = 11;
const OTHER_BALANCER: u8 = 12;
const AGENT: u8 = 21;
const PRINT_AGENT: u8 = 31;
/// Long after all that came before.
const LONG: Duration = Duration::from_secs(60);
/// Longer than the bound for a change, and than the time after which machines are in touch.
const LATE: Duration = Duration::from_millis(4100);

fn route(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

fn moved() -> SocketAddrV4 {
    route(1)
}

fn dropped() -> SocketAddrV4 {
    route(2)
}

fn added() -> SocketAddrV4 {
    route(3)
}

/// A deployment in which each opening has a port of its own.
struct Play {
    judge: ConfigurationJudge,
    next_port: u16,
}

impl Play {
    /// The first version has been in force for long.
    fn start() -> Self {
        let mut judge = ConfigurationJudge::default();
        judge.target_at("kitchen", AGENT);
        judge.target_at("print", PRINT_AGENT);
        judge.acknowledged(&[(moved(), "kitchen"), (dropped(), "kitchen")]);
        judge.advance(LONG);
        Self {
            judge,
            next_port: 1025,
        }
    }

    /// The second version is acknowledged: a route moves, one is dropped, one is added.
    fn change(&mut self) {
        self.judge
            .acknowledged(&[(moved(), "print"), (added(), "print")]);
    }

    fn advance(&mut self, milliseconds: u64) {
        self.judge.advance(Duration::from_millis(milliseconds));
    }

    fn send(&mut self, route: SocketAddrV4) -> (SocketAddrV4, SocketAddrV4) {
        self.next_port += 1;
        let caller = SocketAddrV4::new(Ipv4Addr::new(127, 1, 1, 104), self.next_port);
        self.judge.probe_sent((caller, route), BALANCER);
        (caller, route)
    }

    fn take(&mut self, route: SocketAddrV4, service: &str) -> Option<OlderUse> {
        let ends = self.send(route);
        let machine = if service == "print" {
            PRINT_AGENT
        } else {
            AGENT
        };
        let older = self.judge.taken(ends, 0, service, machine);
        older.map(|older| older.older_use)
    }

    fn refuse(&mut self, route: SocketAddrV4) -> Option<OlderUse> {
        let ends = self.send(route);
        self.judge.refused(ends).map(|older| older.older_use)
    }

    /// What becomes of an opening that is handled by the first version.
    fn older(&mut self) -> Option<OlderUse> {
        self.take(moved(), "kitchen")
    }
}

/// A product that goes on using the old service, or a route that was dropped.
#[test]
fn an_opening_taken_by_an_older_version_is_reported_from_the_bound_on() {
    let mut play = Play::start();
    play.change();
    play.advance(2900);
    assert_eq!(play.older(), None);
    assert_eq!(play.take(dropped(), "kitchen"), None);
    play.advance(200);
    assert_eq!(play.older(), Some(OlderUse::Late));
    assert_eq!(play.take(dropped(), "kitchen"), Some(OlderUse::Late));
    assert_eq!(play.take(moved(), "print"), None);
    assert_eq!(play.refuse(dropped()), None);
}

/// A product that does not serve a route that was added.
#[test]
fn a_route_that_was_added_and_is_refused_is_reported_from_the_bound_on() {
    let mut play = Play::start();
    play.change();
    play.advance(2900);
    assert_eq!(play.refuse(added()), None);
    play.advance(200);
    assert_eq!(play.refuse(added()), Some(OlderUse::Late));
    assert_eq!(play.take(added(), "print"), None);
}

/// A product in which a change comes back older.
#[test]
fn a_balancer_that_goes_back_to_an_older_version_is_reported() {
    let mut play = Play::start();
    play.change();
    play.advance(100);
    assert_eq!(play.older(), None);
    assert_eq!(play.take(moved(), "print"), None);
    play.advance(200);
    assert_eq!(play.older(), None);
    play.advance(100);
    assert_eq!(play.older(), Some(OlderUse::Regressed));
}

/// Each life of a process may begin with an older version.
#[test]
fn a_restarted_balancer_is_not_held_to_what_its_former_life_used() {
    let mut play = Play::start();
    play.change();
    assert_eq!(play.take(moved(), "print"), None);
    play.judge.restart(BALANCER);
    play.advance(400);
    assert_eq!(play.older(), None);
    play.judge.advance(LATE);
    assert_eq!(play.older(), Some(OlderUse::Late));
}

/// Only disturbances of the machines concerned and of the store excuse, and for the time of
/// contact.
#[test]
fn a_disturbance_excuses_its_machines_until_they_are_in_touch_again() {
    for disturbed in [BALANCER, AGENT, STORE] {
        let mut play = Play::start();
        play.change();
        play.judge.advance(LONG);
        play.judge.disturb(disturbed);
        play.advance(3900);
        assert_eq!(play.older(), None, "{disturbed}");
        play.advance(200);
        assert_eq!(play.older(), Some(OlderUse::Late), "{disturbed}");
    }
    for disturbed in [OTHER_BALANCER, PRINT_AGENT] {
        let mut play = Play::start();
        play.change();
        play.judge.advance(LONG);
        play.judge.disturb(disturbed);
        assert_eq!(play.older(), Some(OlderUse::Late), "{disturbed}");
    }
}

/// A fault that outlasts the time of contact excuses until that time after its end.
#[test]
fn a_fault_excuses_for_as_long_as_it_lasts() {
    for disturbed in [BALANCER, AGENT, STORE] {
        let mut play = Play::start();
        play.change();
        play.judge
            .begin_fault(disturbed, LastingFault::StoreUnreachable);
        play.judge.advance(LONG);
        assert_eq!(play.older(), None, "{disturbed}");
        play.judge
            .end_fault(disturbed, LastingFault::StoreUnreachable);
        play.advance(3900);
        assert_eq!(play.older(), None, "{disturbed}");
        play.advance(200);
        assert_eq!(play.older(), Some(OlderUse::Late), "{disturbed}");
    }
    let mut play = Play::start();
    play.change();
    play.judge
        .begin_fault(OTHER_BALANCER, LastingFault::StoreUnreachable);
    play.judge.advance(LONG);
    assert_eq!(play.older(), Some(OlderUse::Late));
}

/// The end of a fault that has not begun disturbs nothing.
#[test]
fn only_signals_that_stop_a_process_excuse() {
    for signal in [Signal::SIGHUP, Signal::SIGCONT] {
        let mut play = Play::start();
        play.change();
        play.judge.advance(LONG);
        play.judge.signalled(BALANCER, signal);
        assert_eq!(play.older(), Some(OlderUse::Late), "{signal}");
    }
    for signal in [Signal::SIGTERM, Signal::SIGKILL] {
        let mut play = Play::start();
        play.change();
        play.judge.advance(LONG);
        play.judge.signalled(BALANCER, signal);
        assert_eq!(play.older(), None, "{signal}");
        play.judge.advance(LATE);
        assert_eq!(play.older(), Some(OlderUse::Late), "{signal}");
    }
    let mut play = Play::start();
    play.change();
    play.judge.signalled(BALANCER, Signal::SIGSTOP);
    play.judge.advance(LONG);
    assert_eq!(play.older(), None);
    play.judge.signalled(BALANCER, Signal::SIGCONT);
    assert_eq!(play.older(), None);
    play.judge.advance(LATE);
    assert_eq!(play.older(), Some(OlderUse::Late));
}

/// A store that answers, though it was disturbed, extends the bound and does not lift it.
#[test]
fn a_forgotten_history_extends_the_bound_and_no_more() {
    let mut play = Play::start();
    play.change();
    play.judge.history_forgotten();
    play.advance(3900);
    assert_eq!(play.older(), None);
    play.advance(200);
    assert_eq!(play.older(), Some(OlderUse::Late));
    play.judge.history_forgotten();
    play.advance(3800);
    assert_eq!(play.older(), None);
    play.judge.history_forgotten();
    play.advance(3900);
    play.judge.history_forgotten();
    play.advance(3400);
    assert_eq!(play.older(), Some(OlderUse::Late));
}

/// Any version allows a refusal while no target of the service is in touch, and nothing else.
#[test]
fn a_refusal_is_excused_only_while_the_service_has_no_target_in_touch() {
    let mut play = Play::start();
    play.change();
    play.judge.advance(LATE);
    play.judge.disturb(AGENT);
    assert_eq!(play.refuse(added()), Some(OlderUse::Late));
    play.judge.disturb(PRINT_AGENT);
    assert_eq!(play.refuse(added()), None);
    assert_eq!(
        play.take(added(), "kitchen"),
        None,
        "its agent is disturbed"
    );
    play.judge.advance(LATE);
    assert_eq!(play.refuse(added()), Some(OlderUse::Late));
    assert_eq!(play.take(added(), "kitchen"), Some(OlderUse::Late));
}
