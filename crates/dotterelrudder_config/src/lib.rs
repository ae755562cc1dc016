//! Declarations of services and client accounts: parse, check, collect, compare.
//!
//! Operators keep short TOML files next to each service's code. [`collect`] parses and checks these
//! files and returns one [`Configuration`] or a list of every [`Fault`]. [`ChangeSet`] is the delta
//! between two configurations. [`deployment`] holds the alternative form, in which one versioned
//! document declares the whole deployment. See docs/CONFIGURATION.md.

mod account_declaration;
mod change_set;
mod collect;
mod configuration;
pub mod deployment;
mod fault;
mod objective;
pub mod prelude;
mod schema;
mod service_declaration;
mod service_kind;
mod source_file;

pub use account_declaration::AccountDeclaration;
pub use change_set::ChangeSet;
pub use collect::collect;
pub use collect::collect_onto;
pub use configuration::Configuration;
pub use fault::Fault;
pub use objective::Objective;
pub use service_declaration::PartitionPolicy;
pub use service_declaration::ServiceDeclaration;
pub use service_kind::ServiceKind;
pub use source_file::SourceFile;
