//! The list of VMs, which shows each change only after a lag.

use std::collections::VecDeque;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::store::Vm;

/// The newest list and the older ones that the lag still shows.
#[derive(Debug)]
pub(super) struct Vms {
    lag: Duration,
    shown: Vec<Vm>,
    coming: VecDeque<(Monotonic, Vec<Vm>)>,
}

impl Vms {
    pub(super) const fn new(lag: Duration) -> Self {
        Self {
            lag,
            shown: Vec::new(),
            coming: VecDeque::new(),
        }
    }

    pub(super) fn set(&mut self, now: Monotonic, vms: Vec<Vm>) {
        self.coming.push_back((now + self.lag, vms));
    }

    pub(super) fn list(&mut self, now: Monotonic) -> Vec<Vm> {
        while let Some((_, vms)) = self.coming.pop_front_if(|(at, _)| *at <= now) {
            self.shown = vms;
        }
        self.shown.clone()
    }
}
