//! The platform ports used by a node.

use std::sync::Arc;
use std::time::Duration;

use config::settings::Settings;
use ports::engine::Engines;
use ports::hosts::Hosts;
use ports::http;
use ports::log::Log;
use ports::rating::Rating;
use ports::service::Services;
use ports::weights::Weights;

/// Time-out of calls to the log, the host list, the weight store and the reports of engines.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A client for each service of the platform, shared by all threads of a node.
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
    /// Rating service; answers are not rated without it.
    pub rating: Option<Arc<dyn Rating>>,
    /// Weight store; load requests for versions are not sent without it.
    pub weights: Option<Arc<dyn Weights>>,
}

impl Ports {
    /// Creates HTTP clients for the platform addresses in the settings. Connections are established on first
    /// use.
    pub fn connect(settings: &Settings) -> Self {
        let connect = settings.upstream.connect_timeout;
        let platform = &settings.platform;
        let rating = |address| Arc::new(http::rating::Client::new(address, connect)) as Arc<dyn Rating>;
        let weights =
            |address| Arc::new(http::weights::Client::new(address, connect, TIMEOUT)) as Arc<dyn Weights>;
        Self {
            log: Arc::new(http::log::Client::new(platform.log, connect, TIMEOUT)),
            hosts: Arc::new(http::hosts::Client::new(platform.hosts, connect, TIMEOUT)),
            engines: Arc::new(http::engine::Client::new(connect, TIMEOUT)),
            services: Arc::new(http::service::Client),
            rating: platform.rating.map(rating),
            weights: platform.weights.map(weights),
        }
    }
}
