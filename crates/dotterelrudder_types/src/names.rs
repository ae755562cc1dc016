//! Names that operators and the platform assign, each with its own type so that they cannot be
//! mixed up.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Defines a name type: a newtype over [`CompactString`] that serializes as plain text.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub CompactString);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(CompactString::from(text))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The name of one process of the system, unique in a deployment.
    InstanceName
}
name_type! {
    /// The name of a data centre.
    DataCentre
}
name_type! {
    /// The name of a client account.
    ClientAccount
}
name_type! {
    /// The name of a service, to which requests of callers or of the system itself are routed.
    ServiceName
}
name_type! {
    /// The version of a model's weights.
    WeightVersion
}
