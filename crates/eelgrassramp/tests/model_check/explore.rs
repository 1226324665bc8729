//! Breadth-first search through all states up to a depth.

use std::collections::HashSet;
use std::hash::Hash;

/// A world that can be searched.
pub trait World: Clone + Eq + Hash {
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

struct Node<W: World> {
    world: W,
    way: Vec<W::Step>,
}

/// Visits every state within `depth` steps of `start`, until one violates.
pub fn explore<W: World>(start: W, depth: usize) -> Found {
    let mut seen = HashSet::from([start.clone()]);
    let mut layer = vec![Node {
        world: start,
        way: Vec::new(),
    }];
    for _ in 0..depth {
        let mut next = Vec::new();
        for node in &layer {
            for step in node.world.steps() {
                let mut world = node.world.clone();
                world.take(step);
                let mut way = node.way.clone();
                way.push(step);
                if let Some(what) = world.violation() {
                    return Found {
                        states: seen.len(),
                        violation: Some(format!("{what} by {way:?}")),
                    };
                }
                if seen.insert(world.clone()) {
                    next.push(Node { world, way });
                }
            }
        }
        layer = next;
    }
    Found {
        states: seen.len(),
        violation: None,
    }
}
