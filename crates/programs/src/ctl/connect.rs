//! Connects to the platform, using the address of the command line or the settings file.

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

use super::command::PROGRAM_NAME;
use super::failure::Failure;
use super::settings::Settings;

/// Returns an applier that uses the object API given by the operator.
pub(super) fn applier(m: &ArgMatches) -> Result<Applier, Failure> {
    let timers = Timers::start();
    Ok(Applier::new(object_api(m, &timers)?, timers))
}

/// Returns the object API given by the operator.
pub(super) fn object_api(m: &ArgMatches, timers: &Timers) -> Result<Arc<dyn ObjectApi>, Failure> {
    let settings = HttpSettings::new(store_address(m)?, PROGRAM_NAME);
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
