//! Connects to the platform as the command line and the settings say.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use clap::ArgMatches;
use eelgrassramp::Kind;
use eelgrassramp::Timers;
use eelgrassramp::jsonc;
use eelgrassramp::store::HttpObjectApi;
use eelgrassramp::store::HttpSettings;
use eelgrassramp::store::ObjectApi;
use eelgrassramp::tables::Applier;

use super::command::NAME;
use super::failure::Failure;
use super::settings::Settings;

/// Returns an applier on the object API that the operator named.
pub(super) fn applier(m: &ArgMatches) -> Result<Applier, Failure> {
    let timers = Timers::start();
    Ok(Applier::new(object_api(m, &timers)?, timers))
}

/// Returns the object API that the operator named.
pub(super) fn object_api(m: &ArgMatches, timers: &Timers) -> Result<Arc<dyn ObjectApi>, Failure> {
    let settings = HttpSettings::new(store_address(m)?, NAME);
    Ok(Arc::new(HttpObjectApi::new(settings, timers.clone())))
}

fn store_address(m: &ArgMatches) -> Result<SocketAddr, Failure> {
    if let Some(address) = m.get_one::<SocketAddr>("store") {
        return Ok(*address);
    }
    let Some(path) = m.get_one::<PathBuf>("settings") else {
        return Err(Failure::usage("give --store ADDRESS or --settings FILE"));
    };
    let settings: Settings = jsonc::from_file(path, Kind::InvalidSettings)?;
    Ok(settings.store)
}
