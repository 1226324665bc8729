//! Encoding of the work that entries granted to accounts.

use eelgrassramp::AccountName;
use eelgrassramp::PoolName;
use serde::Deserialize;
use serde::Serialize;

use crate::dispatcher::PoolShares;
use crate::fair_share::GrantedWork;

/// Work that one entry has lately granted of one pool.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct PoolSharesWire {
    pool: PoolName,
    #[serde(default)]
    has_waiting: bool,
    granted: Vec<GrantedWorkWire>,
}

/// An account and the work that it was granted, in milliseconds.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct GrantedWorkWire(AccountName, u32);

impl From<PoolShares> for PoolSharesWire {
    fn from(shares: PoolShares) -> Self {
        Self {
            pool: shares.pool,
            has_waiting: shares.has_waiting,
            granted: shares.granted.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<PoolSharesWire> for PoolShares {
    fn from(wire: PoolSharesWire) -> Self {
        Self {
            pool: wire.pool,
            has_waiting: wire.has_waiting,
            granted: wire.granted.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<GrantedWork> for GrantedWorkWire {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float cast saturates"
    )]
    fn from(work: GrantedWork) -> Self {
        Self(work.account, (work.seconds * 1_000.0).round() as u32)
    }
}

impl From<GrantedWorkWire> for GrantedWork {
    fn from(GrantedWorkWire(account, ms): GrantedWorkWire) -> Self {
        Self {
            account,
            seconds: f64::from(ms) / 1_000.0,
        }
    }
}
