//! The platform's store moves to another address, which the settings file names.

use std::thread;
use std::time::Duration;

use super::CONFIG;
use super::Config;
use super::ORDERS;
use super::SMALL;
use super::order;
use super::record_outcome;
use super::send_once;
use crate::Setting;
use crate::Verdict;
use crate::replica::Answer;
use crate::replica::Replica;
use crate::store::Store;

/// Time from the new settings to the change of the configuration: the entry is in touch again after
/// `contactMs`.
const MOVE_TIME: Duration = Duration::from_secs(6);

/// Time from the change of the configuration to the requests: `configApplyMs` and `outerBoundMs`, and some
/// more.
const APPLY_TIME: Duration = Duration::from_secs(10);

/// Requests after the change.
const REQUESTS: u32 = 20;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let store = Store::start(100)?;
    let old = Replica::start("i-old", "shop", "a", Answer::Body(800))?;
    let new = Replica::start("i-new", "shop-2", "a", Answer::Body(800))?;
    for replica in [&old, &new] {
        store.put("servers", &replica.id, &replica.announcement());
    }
    store.put(CONFIG.0, CONFIG.1, &ORDERS.to_json());
    let entry = setting.fleet.start("edge-a-1", "a", store.addr(), SMALL)?;
    let served = send_once(entry.callers, &order("before", 2_500, ""));
    let served = served.ok_or("no connection")?;
    record_outcome(setting, "before", &served);

    let current = if setting.has_trouble {
        let moved = Store::start(store.revision())?;
        store.copy_to(&moved);
        setting.fleet.write_settings(&entry, moved.addr(), SMALL)?;
        setting.fleet.signal(&entry, "HUP")?;
        store.stop();
        setting
            .record
            .line("the store has moved, the settings name its address, SIGHUP sent");
        moved
    } else {
        store
    };
    thread::sleep(MOVE_TIME);
    let changed = Config {
        version: 9,
        service: "shop-2",
        ..ORDERS
    };
    current.put(CONFIG.0, CONFIG.1, &changed.to_json());
    setting
        .record
        .line("version 9 acknowledged: the route goes to shop-2 instead of shop");
    thread::sleep(APPLY_TIME);
    let before = old.runs().len();
    for n in 0..REQUESTS {
        let id = format!("after-{n}");
        let outcome = send_once(entry.callers, &order(&id, 2_500, ""));
        record_outcome(setting, &id, &outcome.ok_or("no connection")?);
    }
    let outdated = old.runs().len() - before;
    let current = new.runs().len();
    setting.record.line(&format!(
        "run by shop: {outdated}, run by shop-2: {current}"
    ));
    Ok(if outdated > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
