//! The entry process: accepts requests from callers and dispatches them to endpoints.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use eelgrassramp::Context;
use eelgrassramp::Result;
use eelgrassramp::entry;
use eelgrassramp::log::Verbosity;
use eelgrassramp_programs::Program;

struct Entry;

impl Program for Entry {
    type Settings = entry::Settings;

    const NAME: &'static str = "eelgrassramp-entry";
    const ABOUT: &'static str = "Accepts requests from callers and sends them to endpoints";

    fn read_settings(path: &Path) -> Result<Self::Settings> {
        entry::Settings::from_file(path)
    }

    fn verbosity(settings: &Self::Settings) -> Verbosity {
        settings.log
    }

    fn statsd(settings: &Self::Settings) -> Option<SocketAddr> {
        settings.statsd
    }

    async fn serve(settings: Self::Settings, cx: Context) -> Result<()> {
        entry::serve(settings, cx).await
    }
}

fn main() -> ExitCode {
    eelgrassramp_programs::main::<Entry>()
}
