use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::time::ClockTime;

use super::MemberInfo;

/// Time after the last information from a member for which it may still send to cold upstreams.
const MEMORY: Duration = Duration::from_secs(60);

/// The members that fell silent without having announced that they leave.
///
/// Designed for a fleet that is split into groups without contact: the members of the other groups go on sending, so that
/// their shares of the limits of cold upstreams must not be taken over.
#[derive(Clone, Debug, Default)]
pub struct SilentMembers {
    members: BTreeMap<InstanceId, (MemberInfo, ClockTime)>,
}

impl SilentMembers {
    /// Records a member of which nothing was heard since `sent_at`. One that is about to stop takes no share.
    pub fn record_silence(&mut self, info: MemberInfo, sent_at: ClockTime) {
        if !info.is_leaving {
            self.members.insert(info.instance.clone(), (info, sent_at));
        }
    }

    /// Records that something was heard of a member again.
    pub fn record_contact(&mut self, instance: &InstanceId) {
        self.members.remove(instance);
    }

    /// Returns the silent members, sorted by instance id.
    pub fn members(&self, now: ClockTime) -> impl Iterator<Item = &MemberInfo> {
        let members = self.members.values();
        members
            .filter(move |(_, sent_at)| now.since(*sent_at) < MEMORY)
            .map(|(info, _)| info)
    }

    /// Forgets the members that fell silent long ago.
    pub fn forget_old(&mut self, now: ClockTime) {
        self.members
            .retain(|_, (_, sent_at)| now.since(*sent_at) < MEMORY);
    }
}
