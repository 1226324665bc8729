//! The sidecar process: runs next to one endpoint and admits its requests.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use eelgrassramp::Context;
use eelgrassramp::Result;
use eelgrassramp::log::Verbosity;
use eelgrassramp::sidecar;
use eelgrassramp_programs::Program;

struct Sidecar;

impl Program for Sidecar {
    type Settings = sidecar::Settings;

    const NAME: &'static str = "eelgrassramp-sidecar";
    const ABOUT: &'static str = "Stands beside one endpoint and admits its requests";

    fn read_settings(path: &Path) -> Result<Self::Settings> {
        sidecar::Settings::from_file(path)
    }

    fn verbosity(settings: &Self::Settings) -> Verbosity {
        settings.log
    }

    fn statsd(settings: &Self::Settings) -> Option<SocketAddr> {
        settings.statsd
    }

    async fn serve(settings: Self::Settings, cx: Context) -> Result<()> {
        sidecar::serve(settings, cx).await
    }
}

fn main() -> ExitCode {
    eelgrassramp_programs::main::<Sidecar>()
}
