//! Route lookup by host and path prefix.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use dotterelrudder_config::deployment::RouteRule;

/// The routes of each host, longest path prefix first.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<CompactString, Vec<Arc<RouteRule>>>,
}

impl RouteTable {
    /// Builds the table from the configured routes.
    pub fn new(routes: &[RouteRule]) -> Self {
        let mut by_host: HashMap<CompactString, Vec<Arc<RouteRule>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route of a host with the longest path prefix that matches. A port in the host is
    /// ignored if no route names it.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<RouteRule>> {
        let host = host.to_ascii_lowercase();
        let routes = self.by_host.get(host.as_str()).or_else(|| {
            let (name, _port) = host.rsplit_once(':')?;
            self.by_host.get(name)
        })?;
        let found = routes.iter().find(|r| path.starts_with(&*r.path_prefix));
        found.cloned()
    }
}
