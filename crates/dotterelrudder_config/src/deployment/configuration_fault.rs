//! Why a whole configuration is refused.

use compact_str::CompactString;

/// The first fault found in a whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigurationFault {
    /// The document isn't complete or a field has another type.
    Unreadable(String),
    /// A route names a service that the document doesn't declare.
    UnknownService {
        /// The route.
        route: CompactString,
        /// The service that it names.
        service: CompactString,
    },
    /// Two routes have the same host and path prefix.
    SamePlace {
        /// The host.
        host: CompactString,
        /// The path prefix.
        path_prefix: CompactString,
    },
    /// The weights of a route add up to 0.
    NoWeight(CompactString),
    /// The time limit of a route is 0.
    NoTimeLimit(CompactString),
    /// Two client accounts hold the same key.
    SharedKey {
        /// The first account.
        first: CompactString,
        /// The second account.
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
