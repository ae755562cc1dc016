//! A control instance's reply to a query for the origin of a stream.

use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::StreamOrigin;

/// One reply; all known control instances are asked, since any of them may keep the origin.
#[derive(Debug)]
pub struct OriginReply {
    /// The number of the query.
    pub number: u64,
    /// The control instance that replied.
    pub control: InstanceName,
    /// The number of control instances that are known.
    pub controls: usize,
    /// The origin; none if the instance doesn't keep it.
    pub origin: Option<StreamOrigin>,
}
