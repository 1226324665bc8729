//! The list of VMs, in which changes appear after a lag.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::store::Vm;

/// The visible list and the newer lists that are not visible yet.
#[derive(Debug)]
pub(super) struct Vms {
    lag: Duration,
    visible: Vec<Vm>,
    pending: VecDeque<(Monotonic, Vec<Vm>)>,
}

impl Vms {
    pub(super) const fn new(lag: Duration) -> Self {
        Self {
            lag,
            visible: Vec::new(),
            pending: VecDeque::new(),
        }
    }

    pub(super) fn set(&mut self, now: Monotonic, vms: Vec<Vm>) {
        self.pending.push_back((now + self.lag, vms));
    }

    pub(super) fn list(&mut self, now: Monotonic) -> Vec<Vm> {
        while let Some((_, vms)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.visible = vms;
        }
        self.visible.clone()
    }
}
