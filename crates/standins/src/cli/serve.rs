//! The `serve` subcommand: serves simulated systems for manual tests until it is interrupted.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::Timers;
use tokio_util::sync::CancellationToken;

use crate::engine;
use crate::engine::ModelEngine;
use crate::http;
use crate::http::Handler;
use crate::platform;
use crate::platform::Platform;
use crate::service;
use crate::service::ChargeService;

/// Builds the subcommand.
pub(super) fn command() -> Command {
    let addresses = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("ADDRESS")
            .help(help)
            .action(ArgAction::Append)
            .value_parser(value_parser!(SocketAddr))
    };
    Command::new("serve")
        .about("Serves stand-ins of the platform and of endpoints until it is interrupted")
        .arg(addresses("platform", "Serves an object API here"))
        .arg(addresses("engine", "Serves a model engine here"))
        .arg(addresses("service", "Serves a plain order service here"))
}

/// Serves the simulated systems listed in `args`.
pub(super) fn serve(args: &ArgMatches) -> Result<bool> {
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|e| Error::with_source(Kind::Internal, "runtime", e))?;
    runtime.block_on(async {
        let timers = Timers::start();
        let stop = CancellationToken::new();
        for (addr, handler) in handlers(args, &timers) {
            let bound = http::serve(addr, handler, stop.clone()).await?;
            println!("serving on {bound}");
        }
        tokio::signal::ctrl_c()
            .await
            .map_err(|e| Error::with_source(Kind::Internal, "wait for SIGINT", e))?;
        stop.cancel();
        Ok(true)
    })
}

fn handlers(args: &ArgMatches, timers: &Timers) -> Vec<(SocketAddr, Arc<dyn Handler>)> {
    let named = |name| {
        args.get_many::<SocketAddr>(name)
            .unwrap_or_default()
            .copied()
    };
    let mut all: Vec<(SocketAddr, Arc<dyn Handler>)> = Vec::new();
    for addr in named("platform") {
        let platform = Platform::new(platform::Settings::default(), timers.clone());
        all.push((addr, platform));
    }
    for addr in named("engine") {
        let engine = ModelEngine::start(engine::Settings::default(), timers.clone());
        all.push((addr, engine));
    }
    for addr in named("service") {
        let service = ChargeService::new(service::Settings::default(), timers.clone());
        all.push((addr, service));
    }
    all
}
