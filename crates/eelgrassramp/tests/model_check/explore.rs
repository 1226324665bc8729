//! Breadth-first search through all states up to a depth limit.

use std::collections::HashSet;
use std::hash::BuildHasher;
use std::hash::Hash;
use std::hash::RandomState;

/// A model whose states can be searched.
pub trait Model: Clone + Hash {
    /// One transition.
    type Step: Copy + std::fmt::Debug;

    /// Returns every transition that is possible in this state.
    fn steps(&self) -> Vec<Self::Step>;

    /// Performs one transition.
    fn take(&mut self, step: Self::Step);

    /// Returns a description of the violated invariant, if any.
    fn violation(&self) -> Option<String>;
}

/// Result of a search.
#[derive(Debug)]
pub struct SearchResult {
    pub states: usize,
    /// The first violation with a shortest path to it.
    pub violation: Option<String>,
}

/// How a state was reached: the index of its predecessor, and the transition.
struct Predecessor<S> {
    before: usize,
    step: S,
}

/// Visits every state within `depth` transitions of `start`, until one violates an invariant.
///
/// States are identified by a 64-bit hash; the probability that two of a million states share one
/// is about one in forty million.
pub fn explore<W: Model>(start: &W, depth: usize) -> SearchResult {
    let hasher = RandomState::new();
    let mut seen = HashSet::from([hasher.hash_one(start)]);
    let mut predecessors: Vec<Option<Predecessor<W::Step>>> = vec![None];
    let mut layer = vec![(0, start.clone())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (at, model) in &layer {
            for step in model.steps() {
                let mut model = model.clone();
                model.take(step);
                if !seen.insert(hasher.hash_one(&model)) {
                    continue;
                }
                predecessors.push(Some(Predecessor { before: *at, step }));
                let at = predecessors.len() - 1;
                if let Some(what) = model.violation() {
                    return SearchResult {
                        states: seen.len(),
                        violation: Some(format!("{what} by {:?}", path_to(&predecessors, at))),
                    };
                }
                next.push((at, model));
            }
        }
        layer = next;
    }
    SearchResult {
        states: seen.len(),
        violation: None,
    }
}

fn path_to<S: Copy>(predecessors: &[Option<Predecessor<S>>], mut at: usize) -> Vec<S> {
    let mut steps = Vec::new();
    while let Some(origin) = &predecessors[at] {
        steps.push(origin.step);
        at = origin.before;
    }
    steps.reverse();
    steps
}
