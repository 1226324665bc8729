//! Which process sent a message, and whether a later one of that entry was read before it.
//!
//! A message may be read late: from the buffer of a connection whose sender has ended, or after this
//! process was suspended. Each message therefore has a number, and names the last message of the
//! receiver that its sender had read, which proves that it was sent after that one. See
//! `docs/design/platform.md`, "What entries believe of each other".

use std::collections::HashMap;

use eelgrassramp::EntryName;
use serde::Deserialize;
use serde::Serialize;

/// Number of a message among those of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MessageId {
    /// Distinguishes the processes that an entry had.
    pub incarnation: u64,
    /// Grows with each message that the process sends.
    pub seq: u64,
}

/// Where a message comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Provenance {
    /// Distinguishes the processes that the sending entry had.
    pub incarnation: u64,
    /// Number of the message; `None` in messages of builds that do not number them.
    pub seq: Option<u64>,
    /// The last message of the receiver that the sender had read.
    pub seen: Option<MessageId>,
}

/// How a message relates to those that were read before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It is the latest of its entry.
    Latest,
    /// A later one of the same process was read before it.
    Overtaken,
    /// It is of another process than the last one, and may be of an earlier process.
    Unproven,
}

/// The last message read from one entry.
#[derive(Debug, Clone, Copy)]
struct LastMessage {
    incarnation: u64,
    seq: Option<u64>,
    /// Number of this process's last message at that time.
    own_seq: u64,
}

/// The messages read from all other entries.
#[derive(Debug, Default)]
pub struct MessageLog {
    latest: HashMap<EntryName, LastMessage>,
    /// The last message read, whichever process it is from.
    read: HashMap<EntryName, MessageId>,
}

impl MessageLog {
    /// Records a message of `entry` and returns how it relates to those before; `own` is this process's
    /// last message.
    ///
    /// The process of an entry changes with a message that was sent after this process had sent one since
    /// the last message of the process before. The first message of a new process may not prove that; it is
    /// answered, and the next one names the answer.
    pub fn record(&mut self, entry: &EntryName, message: &Provenance, own: MessageId) -> Freshness {
        if let Some(seq) = message.seq {
            let id = MessageId {
                incarnation: message.incarnation,
                seq,
            };
            self.read.insert(entry.clone(), id);
        }
        let freshness = self.freshness(entry, message, own.incarnation);
        if freshness == Freshness::Latest {
            let last = LastMessage {
                incarnation: message.incarnation,
                seq: message.seq,
                own_seq: own.seq,
            };
            self.latest.insert(entry.clone(), last);
        }
        freshness
    }

    /// Returns the last message read from `entry`.
    #[must_use]
    pub fn last_read(&self, entry: &EntryName) -> Option<MessageId> {
        self.read.get(entry).copied()
    }

    fn freshness(
        &self,
        entry: &EntryName,
        message: &Provenance,
        own_incarnation: u64,
    ) -> Freshness {
        let Some(last) = self.latest.get(entry) else {
            return Freshness::Latest;
        };
        if message.incarnation == last.incarnation {
            let is_overtaken = message.seq.is_some() && message.seq <= last.seq;
            return if is_overtaken {
                Freshness::Overtaken
            } else {
                Freshness::Latest
            };
        }
        let is_sent_later = message
            .seen
            .is_some_and(|seen| seen.incarnation == own_incarnation && seen.seq > last.own_seq);
        if is_sent_later || message.seq.is_none() {
            Freshness::Latest
        } else {
            Freshness::Unproven
        }
    }
}
