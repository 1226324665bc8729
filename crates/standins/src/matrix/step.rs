//! The steps at which faults are injected, which are the rows of the matrix.

/// The scenario that a step belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scenario {
    /// The processing of one request.
    Request,
    /// A change of the tables.
    Change,
    /// A move to another version.
    Move,
    /// A planned stop of a process.
    Stop,
}

macro_rules! steps {
    ($($scenario:ident $step:ident $name:literal $description:literal;)+) => {
        /// A point in a scenario at which a fault is injected.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Step {
            $(#[doc = $description] $step,)+
        }

        impl Step {
            /// All steps, in order.
            pub const ALL: &'static [Self] = &[$(Self::$step,)+];

            /// Returns the name of the row.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$step => $name,)+ }
            }

            /// Returns when the fault is injected.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self { $(Self::$step => $description,)+ }
            }

            /// Returns the scenario of the step.
            #[must_use]
            pub const fn scenario(self) -> Scenario {
                match self { $(Self::$step => Scenario::$scenario,)+ }
            }
        }
    };
}

steps! {
    Request Accept "accept" "As a request reaches its entry.";
    Request Classify "classify" "While the entry matches the request to a route.";
    Request Queue "queue" "While requests wait at the entry because all endpoints are full.";
    Request Choose "choose" "Before the entry has chosen an endpoint from its reports.";
    Request Connect "connect" "After the choice, before the dispatch is sent.";
    Request Dispatch "dispatch" "After the sidecar got the dispatch, before its first frame arrives.";
    Request Admit "admit" "As the sidecar's first frame arrives.";
    Request Start "start" "After the engine got the call, before the entry learns of it.";
    Request Stream "stream" "As the first piece of the answer reaches the entry.";
    Request Finish "finish" "As the last frame of the answer reaches the entry.";
    Request Answer "answer" "As the caller reads the first piece of its answer.";
    Change Write "write" "Before an operator writes changed tables.";
    Change Reply "reply" "As the reply to that write is due.";
    Change Watch "watch" "After the write was accepted, before any entry has the tables.";
    Change Spread "spread" "After one entry has the tables, before all have.";
    Change InForce "in force" "After all processes have the tables.";
    Move Lease "lease" "As an entry takes the lease of a pool with a new move.";
    Move Order "order" "As the holder sends an order to an engine.";
    Move Load "load" "While the engine loads the version.";
    Move RampStep "ramp step" "As the first share of traffic goes to the new version.";
    Move Verdict "verdict" "As the new version turns out to be bad.";
    Move TakeBack "take back" "As the move is taken back.";
    Move Done "done" "As the move is done.";
    Stop Signal "signal" "As a process is told to stop.";
    Stop Refuse "refuse" "While the stopping process refuses new work.";
    Stop Drain "drain" "While it finishes what is in progress.";
    Stop Gone "gone" "After it has ended.";
}
