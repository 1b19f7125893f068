//! Faults of a soak on the paths between nodes, and between nodes and the store.

use super::address::STORE;
use super::configuration_judge::LastingFault;
use super::links::LinkRule;
use super::site::all_nodes;
use super::soak::Soak;
use super::store_state::StoreFault;
use crate::fault_proxy::FaultRule;

impl Soak {
    /// Sets what happens between a node and all others.
    pub(super) fn link(&self, machine: u8, to: Option<LinkRule>, from: Option<LinkRule>) {
        self.disturb(machine);
        let links = &self.site.links;
        for other in all_nodes().filter(|other| *other != machine) {
            match to {
                Some(rule) => links.set(other, machine, rule),
                None => links.heal(other, machine),
            }
            match from {
                Some(rule) => links.set(machine, other, rule),
                None => links.heal(machine, other),
            }
        }
    }

    /// Sets how the store misbehaves.
    pub(super) fn store_fault(&self, fault: StoreFault) {
        self.disturb(STORE);
        self.site.store.borrow_mut().fault = fault;
        self.store_unreachable(STORE, fault != StoreFault::None);
    }

    /// Sets how the path from a node to the store misbehaves.
    pub(super) fn store_path(&self, machine: u8, rule: FaultRule) {
        if let Some(proxy) = self.store_proxies.get(&machine) {
            proxy.set_rule(rule);
            self.store_unreachable(machine, rule != FaultRule::default());
        }
    }

    /// The store forgets its history.
    pub(super) fn forget_history(&self) {
        self.site.store.borrow_mut().forget_history();
        let mut oracle = self.site.oracle.borrow_mut();
        oracle.configurations.history_forgotten();
    }

    /// The connections that are open at the store go silent: those of one machine, or all.
    /// For the users' rules, this is a reset of the connections of these machines.
    pub(super) fn silence(&self, machine: Option<u8>) {
        for (owner, proxy) in &self.store_proxies {
            if machine.is_none_or(|machine| machine == *owner) {
                proxy.silence_open_connections();
                let mut oracle = self.site.oracle.borrow_mut();
                oracle.configurations.disturb(*owner);
            }
        }
    }

    /// A machine, or the store, has a fault that keeps calls from being answered, or has it no
    /// longer.
    fn store_unreachable(&self, machine: u8, is_unreachable: bool) {
        let mut oracle = self.site.oracle.borrow_mut();
        let judge = &mut oracle.configurations;
        if is_unreachable {
            judge.begin_fault(machine, LastingFault::StoreUnreachable);
        } else {
            judge.end_fault(machine, LastingFault::StoreUnreachable);
        }
    }
}
