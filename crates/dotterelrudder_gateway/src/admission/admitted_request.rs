//! An admitted request.

use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_config::deployment::RouteRule;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::CacheGroup;
use std::sync::Arc;

/// An admitted request: the configuration that applies to it.
#[derive(Debug, Clone)]
pub struct Admission {
    /// The route that matches the request's host and path.
    pub route: Arc<RouteRule>,
    /// The client account of the API key; `None` if the route needs no key or no accounts are
    /// configured.
    pub account: Option<Arc<AccountEntry>>,
    /// The accounts with which the request shares KV cache. It stays as it was at the admission: under
    /// a later configuration the account may belong to another group.
    pub cache_group: CacheGroup,
    /// The service that was picked from the route's weighted targets.
    pub service: ServiceName,
}
