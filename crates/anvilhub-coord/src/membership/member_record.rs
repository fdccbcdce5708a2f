use std::net::SocketAddr;

use crate::border::platform::InstanceState;
use crate::ids::FailureDomain;
use crate::time::ClockTime;

/// What the list and direct evidence say about one instance.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    pub(crate) peer_address: SocketAddr,
    pub(crate) failure_domain: Option<FailureDomain>,
    /// State on the list; none when the instance is not listed.
    pub(crate) listed: Option<InstanceState>,
    /// Named by the settings: kept when the list does not name it.
    pub(crate) is_configured: bool,
    pub(crate) evidence: Option<(MemberEvidence, ClockTime)>,
}

/// The last direct observation of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberEvidence {
    Answered { is_draining: bool },
    Refused,
    Silent,
}
