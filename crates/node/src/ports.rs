//! Platform ports that a node uses.

use std::sync::Arc;

use platform::engine::Engines;
use platform::hosts::Hosts;
use platform::log::Log;
use platform::rating::Rating;
use platform::service::Services;
use platform::weights::Weights;

/// One client for each service of the platform, shared by all threads of a node.
#[derive(Debug, Clone)]
pub struct Ports {
    /// Log service.
    pub log: Arc<dyn Log>,
    /// Host list.
    pub hosts: Arc<dyn Hosts>,
    /// Engines.
    pub engines: Arc<dyn Engines>,
    /// Plain services.
    pub services: Arc<dyn Services>,
    /// Rating service; without it no answer is rated.
    pub rating: Option<Arc<dyn Rating>>,
    /// Weight store; without it no order to load a version is sent.
    pub weights: Option<Arc<dyn Weights>>,
}
