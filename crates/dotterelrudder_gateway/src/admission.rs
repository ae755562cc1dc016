//! An admitted request.

use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_config::deployment::RouteRule;
use dotterelrudder_types::ServiceName;
use std::sync::Arc;

/// An admitted request: the configuration that applies to it.
#[derive(Debug, Clone)]
pub struct Admission {
    /// The route that matches the request's host and path.
    pub route: Arc<RouteRule>,
    /// The client account of the API key; `None` if the route needs no key or no accounts are
    /// configured.
    pub account: Option<Arc<AccountEntry>>,
    /// The service that was picked from the route's weighted targets.
    pub service: ServiceName,
}
