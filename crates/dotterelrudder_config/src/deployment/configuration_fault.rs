//! Reasons to refuse a deployment configuration.

use compact_str::CompactString;

/// The first fault found in a deployment configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationFault {
    /// The document is incomplete, or a field has the wrong type; holds the reason.
    Unreadable(String),
    /// A route refers to a service that the document does not declare.
    UnknownService {
        /// The name of the route.
        route: CompactString,
        /// The service that the route refers to.
        service: CompactString,
    },
    /// Two routes have the same host and path prefix.
    SamePlace {
        /// The host of both routes.
        host: CompactString,
        /// The path prefix of both routes.
        path_prefix: CompactString,
    },
    /// The weights of the named route add up to 0, so that no service would receive its requests.
    NoWeight(CompactString),
    /// The time limit of the named route is 0, so that every request would time out.
    NoTimeLimit(CompactString),
    /// Two client accounts hold the same key.
    SharedKey {
        /// The account declared first.
        first: CompactString,
        /// The account declared later.
        second: CompactString,
    },
}

impl std::fmt::Display for ConfigurationFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreadable(why) => write!(f, "the configuration can't be read: {why}"),
            Self::UnknownService { route, service } => {
                write!(
                    f,
                    "route \"{route}\" names the undeclared service \"{service}\""
                )
            }
            Self::SamePlace { host, path_prefix } => {
                write!(
                    f,
                    "two routes have host \"{host}\" and prefix \"{path_prefix}\""
                )
            }
            Self::NoWeight(route) => write!(f, "the weights of route \"{route}\" add up to 0"),
            Self::NoTimeLimit(route) => write!(f, "the time limit of route \"{route}\" is 0"),
            Self::SharedKey { first, second } => {
                write!(f, "accounts \"{first}\" and \"{second}\" hold the same key")
            }
        }
    }
}
