//! Deployment configurations: routes, services, client accounts and limits in one versioned
//! document.
//!
//! They are for operators who publish the whole deployment as one document. Every accepted document
//! replaces the previous one; the highest version wins. See docs/design/platform.md.

mod account_entry;
mod call_kind;
mod caller_limits;
mod configuration_fault;
mod deployment_configuration;
mod deployment_extension;
mod engine_attributes;
mod route_rule;
mod service_endpoint;
mod store_traits;
mod warm_up;
mod weighted_target;

pub use account_entry::AccountEntry;
pub use call_kind::CallKind;
pub use caller_limits::CallerLimits;
pub use configuration_fault::ConfigurationFault;
pub use deployment_configuration::DeploymentConfiguration;
pub use deployment_extension::DeploymentExtension;
pub use engine_attributes::EngineAttributes;
pub use route_rule::RouteRule;
pub use service_endpoint::ServiceEndpoint;
pub use store_traits::StoreTraits;
pub use warm_up::WarmUp;
pub use weighted_target::WeightedTarget;
