use std::net::SocketAddr;

use crate::border::platform::InstanceState;
use crate::ids::FailureDomain;
use crate::time::ClockTime;

/// What the instance list, the settings and direct evidence say about one instance.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    pub(crate) peer_address: SocketAddr,
    pub(crate) failure_domain: Option<FailureDomain>,
    /// State in the instance list, or `None` if the instance is not listed.
    pub(crate) listed_state: Option<InstanceState>,
    /// Whether the settings name the instance. Such a record is kept even if the instance is not listed.
    pub(crate) is_configured: bool,
    /// The last direct observation and its time.
    pub(crate) evidence: Option<(MemberEvidence, ClockTime)>,
}

/// Result of a direct contact with an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberEvidence {
    /// The instance answered an exchange or started one.
    Answered { is_draining: bool },
    /// The address of the instance refused a connection.
    Refused,
    /// The instance did not answer in time.
    Silent,
}
