//! Follows the tables in the platform's object API.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;

use super::current::Current;
use super::model::Tables;
use crate::error::Result;
use crate::id::ObjectVersion;
use crate::id::TableVersion;
use crate::process::Context;
use crate::store::Object;
use crate::store::ObjectApi;
use crate::wire::TablesSnapshot;

/// Key of the object that holds both tables.
pub const OBJECT_KEY: &str = "tables";

const WATCH_WAIT: Duration = Duration::from_secs(20);
const WATCH_SLACK: Duration = Duration::from_secs(2);
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl From<&Object> for TablesSnapshot {
    fn from(object: &Object) -> Self {
        Self {
            version: TableVersion(object.version.0),
            document: object.value.clone(),
        }
    }
}

/// Watches the tables and offers each new version to `current` until the process stops.
///
/// A watch that gives nothing within its time is given up and opened again, because its
/// connection may have gone silent.
pub async fn follow(cx: Context, api: Arc<dyn ObjectApi>, current: Arc<Current>) {
    let mut seen = ObjectVersion(current.get().version.0);
    while !cx.stop.is_cancelled() {
        let watch = cx.timers.limit(
            WATCH_WAIT + WATCH_SLACK,
            api.watch(OBJECT_KEY, seen, WATCH_WAIT),
        );
        let out = tokio::select! {
            out = watch => out,
            () = cx.stop.cancelled() => return,
        };
        match out {
            Some(Ok(object)) if object.version > seen => {
                seen = object.version;
                take(&cx, &current, &object);
            }
            Some(Ok(_)) | None => {}
            Some(Err(e)) => {
                warn!(cx.log, "tables not read"; "error" => %e);
                cx.timers.after(RETRY_AFTER).await;
            }
        }
    }
}

fn take(cx: &Context, current: &Current, object: &Object) {
    match offer(current, &object.into()) {
        Ok(true) => info!(cx.log, "tables in force"; "version" => object.version.0),
        Ok(false) => {}
        Err(e) => warn!(cx.log, "tables refused"; "error" => %e),
    }
}

fn offer(current: &Current, snapshot: &TablesSnapshot) -> Result<bool> {
    Ok(current.offer(Tables::from_snapshot(snapshot)?))
}
