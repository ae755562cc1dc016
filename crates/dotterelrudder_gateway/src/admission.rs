//! A request that may be served.

use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_config::deployment::RouteRule;
use dotterelrudder_types::ServiceName;
use std::sync::Arc;

/// A request that may be served.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Its route.
    pub route: Arc<RouteRule>,
    /// Its account; none on a route without keys.
    pub account: Option<Arc<AccountEntry>>,
    /// The service that takes it.
    pub service: ServiceName,
}
