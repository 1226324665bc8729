//! The simulated endpoint behind a sidecar.

use std::sync::Arc;

use eelgrassramp::Timers;
use eelgrassramp::engine::Engine;

use super::spec::ClusterSpec;
use super::spec::Member;
use crate::engine::ModelEngine;
use crate::http::Handler;
use crate::load::ClassKind;
use crate::service::ChargeService;

/// A simulated endpoint.
#[derive(Debug, Clone)]
pub enum SimulatedEndpoint {
    /// A model engine.
    Model(Arc<ModelEngine>),
    /// A plain service.
    Plain(Arc<ChargeService>),
}

impl SimulatedEndpoint {
    /// Starts the endpoint of a deployment member.
    #[must_use]
    pub fn start(spec: &ClusterSpec, member: &Member, seed: u64, timers: Timers) -> Self {
        match member.kind {
            ClassKind::Model => {
                let settings = spec.engine_settings(member, seed);
                Self::Model(ModelEngine::start(settings, timers))
            }
            ClassKind::Charge => {
                let settings = spec.service_settings(seed);
                Self::Plain(ChargeService::new(settings, timers))
            }
        }
    }

    /// Returns the in-process interface that a sidecar calls.
    #[must_use]
    pub fn as_engine(&self) -> Arc<dyn Engine> {
        match self {
            Self::Model(engine) => Arc::clone(engine) as Arc<dyn Engine>,
            Self::Plain(service) => Arc::clone(service) as Arc<dyn Engine>,
        }
    }

    /// Returns the handler for an HTTP server.
    #[must_use]
    pub fn as_handler(&self) -> Arc<dyn Handler> {
        match self {
            Self::Model(engine) => Arc::clone(engine) as Arc<dyn Handler>,
            Self::Plain(service) => Arc::clone(service) as Arc<dyn Handler>,
        }
    }
}
