//! Orders to the engine, fenced.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::id::FencingToken;
use crate::lease;
use crate::lease::LeaseObject;
use crate::name::VersionName;
use crate::wire::EngineAction;
use crate::wire::EngineOrder;
use crate::wire::OrderReply;

use super::state::Shared;

/// Longest wait for running requests before a version is loaded.
const WORK_TIMEOUT: Duration = Duration::from_secs(30);

const WORK_PERIOD: Duration = Duration::from_millis(25);

/// Carries out an order unless a later holder of the lease has been heard of.
///
/// Orders run one at a time, so that an engine that ignores fencing tokens never works on the
/// orders of two holders at once, and the version is read back after each.
pub(super) async fn execute(shared: &Arc<Shared>, msg: EngineOrder) -> OrderReply {
    let _turn = shared.orders.lock().await;
    let outcome = match check(shared, &msg).await {
        Ok(()) => perform(shared, &msg).await,
        Err(e) => Err(e),
    };
    let state = shared.lock();
    let refused = outcome.err().map(|e| {
        warn!(shared.cx.log, "order not carried out";
            "kind" => %e.kind(), "error" => %e, "fence" => msg.fence.0);
        e.kind()
    });
    OrderReply {
        done: refused.is_none(),
        fence: state.fence.highest,
        version: state.version.clone(),
        refused,
    }
}

/// Checks the order's token and remembers it.
async fn check(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<()> {
    if msg.pool != shared.settings.pool {
        let detail = format!("order for pool {:?}", msg.pool);
        return Err(Error::new(Kind::NotServed, detail));
    }
    learn_floor(shared, msg).await?;
    let mut state = shared.lock();
    if msg.fence < state.fence.highest {
        let detail = format!(
            "order carries token {}, the highest seen is {}",
            msg.fence, state.fence.highest
        );
        return Err(Error::new(Kind::FencedOff, detail));
    }
    state.fence.highest = msg.fence;
    Ok(())
}

/// Learns the lowest acceptable token before the first order of this life.
///
/// The former life may have seen a higher token than the order at hand carries. The lease in
/// the store tells; without a store, a holder has to announce itself before it orders.
async fn learn_floor(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<()> {
    if shared.lock().fence.is_known {
        return Ok(());
    }
    let floor = match lease_token(shared).await? {
        Some(token) => token,
        None if msg.action == EngineAction::Fence => msg.fence,
        None => {
            let detail = "the first order after a start has to announce the fencing token";
            return Err(Error::new(Kind::FencedOff, detail));
        }
    };
    let mut state = shared.lock();
    state.fence.highest = state.fence.highest.max(floor);
    state.fence.is_known = true;
    Ok(())
}

async fn perform(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<()> {
    match &msg.action {
        EngineAction::Fence => Ok(()),
        EngineAction::Role(_) => give(shared, msg).await.map(drop),
        EngineAction::Load(wanted) => {
            let serving = load(shared, msg).await?;
            if serving == *wanted {
                return Ok(());
            }
            let detail = format!("engine serves {serving:?} after an order to load {wanted:?}");
            Err(Error::new(Kind::EndpointFailed, detail))
        }
    }
}

/// Lets the engine load a version while it works on nothing, so that no request accepted for
/// one version is run by another.
async fn load(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<VersionName> {
    stop_work(shared);
    let outcome = match work_ended(shared).await {
        Ok(()) => give(shared, msg).await,
        Err(e) => Err(e),
    };
    shared.lock().is_loading = false;
    outcome
}

fn stop_work(shared: &Arc<Shared>) {
    let mut state = shared.lock();
    state.is_loading = true;
    let actions = state.scheduler.refuse_queued(shared.now(), Kind::NotServed);
    shared.perform(&mut state, actions);
}

async fn work_ended(shared: &Arc<Shared>) -> Result<()> {
    let timers = &shared.cx.timers;
    let ended = async {
        while shared.lock().scheduler.running() > 0 {
            timers.after(WORK_PERIOD).await;
        }
    };
    timers.limit(WORK_TIMEOUT, ended).await.ok_or_else(|| {
        let detail = format!(
            "requests still run after {} s, so no version is loaded",
            WORK_TIMEOUT.as_secs()
        );
        Error::new(Kind::Overloaded, detail)
    })
}

/// Gives the engine an order and reads back which version it serves then.
async fn give(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<VersionName> {
    let ordered = shared.engine.order(msg.action.clone(), msg.fence).await;
    let serving = read_back(shared, ordered.as_ref().ok()).await?;
    info!(shared.cx.log, "engine was given an order";
        "fence" => msg.fence.0, "version" => %serving, "done" => ordered.is_ok());
    let mut state = shared.lock();
    state.version = serving.clone();
    state.last_order = Some(shared.now());
    drop(state);
    ordered.map(|_| serving)
}

/// Asks the engine which version it serves now; its report of load lags, so an order's own
/// answer goes before it.
async fn read_back(shared: &Arc<Shared>, answered: Option<&VersionName>) -> Result<VersionName> {
    match answered {
        Some(version) => Ok(version.clone()),
        None => Ok(shared.engine.load().await?.version),
    }
}

/// Reads the token of the pool's lease; `None` without a store or before the first lease.
async fn lease_token(shared: &Shared) -> Result<Option<FencingToken>> {
    let Some(store) = &shared.store else {
        return Ok(None);
    };
    let object = store.get(&lease::key(&shared.settings.pool)).await?;
    if object.version.0 == 0 {
        return Ok(None);
    }
    Ok(Some(LeaseObject::from_bytes(&object.value)?.fence))
}
