//! Breadth-first search through all states up to a depth.

use std::collections::HashSet;
use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::RandomState;

/// A world that can be searched.
pub trait World: Clone + Hash {
    /// One step.
    type Step: Copy + std::fmt::Debug;

    /// Returns every step that is possible now.
    fn steps(&self) -> Vec<Self::Step>;

    /// Takes one step.
    fn take(&mut self, step: Self::Step);

    /// Returns what is wrong, if anything.
    fn violation(&self) -> Option<String>;
}

/// What a search found.
#[derive(Debug)]
pub struct Found {
    pub states: usize,
    /// The first violation with one of the shortest ways to it.
    pub violation: Option<String>,
}

/// How a state was reached: the index of the state before it, and the step.
struct Origin<S> {
    before: usize,
    step: S,
}

/// Visits every state within `depth` steps of `start`, until one violates.
///
/// A state counts as seen by its 64-bit hash; among a million states, two share one with a
/// probability of about one in forty million.
pub fn explore<W: World>(start: &W, depth: usize) -> Found {
    let hasher = RandomState::new();
    let mut seen = HashSet::from([hasher.hash_one(start)]);
    let mut origins: Vec<Option<Origin<W::Step>>> = vec![None];
    let mut layer = vec![(0, start.clone())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (at, world) in &layer {
            for step in world.steps() {
                let mut world = world.clone();
                world.take(step);
                if !seen.insert(hasher.hash_one(&world)) {
                    continue;
                }
                origins.push(Some(Origin { before: *at, step }));
                let at = origins.len() - 1;
                if let Some(what) = world.violation() {
                    return Found {
                        states: seen.len(),
                        violation: Some(format!("{what} by {:?}", way(&origins, at))),
                    };
                }
                next.push((at, world));
            }
        }
        layer = next;
    }
    Found {
        states: seen.len(),
        violation: None,
    }
}

fn way<S: Copy>(origins: &[Option<Origin<S>>], mut at: usize) -> Vec<S> {
    let mut steps = Vec::new();
    while let Some(origin) = &origins[at] {
        steps.push(origin.step);
        at = origin.before;
    }
    steps.reverse();
    steps
}
