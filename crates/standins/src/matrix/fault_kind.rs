//! The faults of the matrix, which are its columns.

macro_rules! faults {
    ($($fault:ident $name:literal $description:literal;)+) => {
        /// A fault of the matrix.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind {
            $(#[doc = $description] $fault,)+
        }

        impl FaultKind {
            /// All faults, in order.
            pub const ALL: &'static [Self] = &[$(Self::$fault,)+];

            /// Returns the name of the column.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$fault => $name,)+ }
            }

            /// Returns what the fault does.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self { $(Self::$fault => $description,)+ }
            }
        }
    };
}

faults! {
    EntryDies "entry dies" "The entry's process ends with requests waiting; another one starts later.";
    SidecarDies "sidecar dies" "The sidecar's process ends; another life starts at the same address, the engine goes on.";
    Paused "paused" "The entry stops for longer than a lease lasts, then goes on.";
    EngineSlow "engine slow" "Every step of the engine takes eight times as long.";
    EngineFails "engine fails" "The engine breaks off all answers and refuses connections.";
    StoreDown "store down" "The object API refuses every call.";
    StoreSlow "store slow" "Every call of the object API takes two seconds longer.";
    ReplyLost "reply lost" "Writes take effect and their replies are lost.";
    ReportStale "report stale" "Reports of sidecars arrive five seconds late.";
    CacheEventsLost "cache events lost" "The engines' cache events are lost.";
    Silent "connection silent" "The connection goes silent for good; new ones work.";
    Duplicate "duplicated" "Messages arrive twice, the second time late and out of order.";
    ConflictingEdits "conflicting edits" "Two operators write different tables from the same base.";
    VmReplaced "VM replaced" "The VM goes silent; a new one with a new engine takes its address.";
    StoreAndSidecar "two: store, sidecar" "The object API is down and a sidecar dies.";
    SilentAndEntry "two: silent, entry" "Connections go silent and an entry dies.";
}
