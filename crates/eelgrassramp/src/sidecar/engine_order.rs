//! Execution of engine orders, protected by fencing tokens.

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

/// Maximum wait for running requests to end before a version is loaded.
const RUNNING_REQUESTS_TIMEOUT: Duration = Duration::from_secs(30);

const RUNNING_REQUESTS_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Executes an order unless a higher fencing token has been seen.
///
/// Orders are executed one at a time, so that an engine that ignores fencing tokens never
/// executes orders of two lease holders concurrently. The version is read back after each order.
pub(super) async fn execute(shared: &Arc<Shared>, msg: EngineOrder) -> OrderReply {
    let _guard = shared.order_lock.lock().await;
    let outcome = match check_fence(shared, &msg).await {
        Ok(()) => execute_action(shared, &msg).await,
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

/// Checks the fencing token of the order and records it.
async fn check_fence(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<()> {
    if msg.pool != shared.settings.pool {
        let detail = format!(
            "order is for pool {:?}, which this endpoint does not belong to",
            msg.pool
        );
        return Err(Error::new(Kind::NotServed, detail));
    }
    init_fence(shared, msg).await?;
    let mut state = shared.lock();
    if msg.fence < state.fence.highest {
        let detail = format!(
            "order has fencing token {}, but token {} has been seen",
            msg.fence, state.fence.highest
        );
        return Err(Error::new(Kind::FencedOff, detail));
    }
    state.fence.highest = msg.fence;
    Ok(())
}

/// Determines the lowest acceptable token before the first order of this incarnation.
///
/// The former incarnation may have seen a higher token than this order carries, so the token is
/// read from the lease in the store. Without a store, a holder has to send
/// [`EngineAction::Fence`] before any other order.
async fn init_fence(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<()> {
    if shared.lock().fence.is_known {
        return Ok(());
    }
    let lowest_token = match lease_token(shared).await? {
        Some(token) => token,
        None if msg.action == EngineAction::Fence => msg.fence,
        None => {
            let detail = "the first order after a start must be a fence order";
            return Err(Error::new(Kind::FencedOff, detail));
        }
    };
    let mut state = shared.lock();
    state.fence.highest = state.fence.highest.max(lowest_token);
    state.fence.is_known = true;
    Ok(())
}

async fn execute_action(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<()> {
    match &msg.action {
        EngineAction::Fence => Ok(()),
        EngineAction::Role(_) => send_order(shared, msg).await.map(drop),
        EngineAction::Load(requested) => {
            let serving = load_version(shared, msg).await?;
            if serving == *requested {
                return Ok(());
            }
            let detail =
                format!("engine serves version {serving:?} after an order to load {requested:?}");
            Err(Error::new(Kind::EndpointFailed, detail))
        }
    }
}

/// Loads a version while no request is running, so that a request accepted for one version is
/// never run by another.
async fn load_version(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<VersionName> {
    refuse_queued_requests(shared);
    let outcome = match wait_for_running_requests(shared).await {
        Ok(()) => send_order(shared, msg).await,
        Err(e) => Err(e),
    };
    shared.lock().is_loading = false;
    outcome
}

fn refuse_queued_requests(shared: &Arc<Shared>) {
    let mut state = shared.lock();
    state.is_loading = true;
    let actions = state.scheduler.refuse_queued(shared.now(), Kind::NotServed);
    shared.apply_actions(&mut state, actions);
}

async fn wait_for_running_requests(shared: &Arc<Shared>) -> Result<()> {
    let timers = &shared.cx.timers;
    let all_ended = async {
        while shared.lock().scheduler.running() > 0 {
            timers.after(RUNNING_REQUESTS_POLL_INTERVAL).await;
        }
    };
    timers
        .limit(RUNNING_REQUESTS_TIMEOUT, all_ended)
        .await
        .ok_or_else(|| {
            let detail = format!(
                "version not loaded: requests were still running after {} s",
                RUNNING_REQUESTS_TIMEOUT.as_secs()
            );
            Error::new(Kind::Overloaded, detail)
        })
}

/// Sends an order to the engine and reads back the version that it serves afterwards.
async fn send_order(shared: &Arc<Shared>, msg: &EngineOrder) -> Result<VersionName> {
    let order_result = shared.engine.order(msg.action.clone(), msg.fence).await;
    let serving = serving_version(shared, order_result.as_ref().ok()).await?;
    info!(shared.cx.log, "engine order sent";
        "fence" => msg.fence.0, "version" => %serving, "done" => order_result.is_ok());
    let mut state = shared.lock();
    state.version = serving.clone();
    state.last_order_at = Some(shared.now());
    drop(state);
    order_result.map(|_| serving)
}

/// Returns the version that the engine serves now. The version in the reply to the order takes
/// precedence, since the load report lags.
async fn serving_version(
    shared: &Arc<Shared>,
    replied_version: Option<&VersionName>,
) -> Result<VersionName> {
    match replied_version {
        Some(version) => Ok(version.clone()),
        None => Ok(shared.engine.load().await?.version),
    }
}

/// Reads the fencing token of the pool's lease; `None` without a store or before the first lease.
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
