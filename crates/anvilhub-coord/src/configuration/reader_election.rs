use crate::ids::{FailureDomain, InstanceId};
use crate::membership::RendezvousHash;

/// Chooses the instances that watch the platform.
///
/// The platform's rate grows more slowly than the fleet, so in a large fleet a few instances of each
/// failure domain watch it and the others learn from peers. Every instance decides for itself; when they
/// disagree about the members, more or fewer of them watch for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderElection {
    /// Readers in each failure domain. Three survive the loss of two before the list shows it.
    pub readers_per_domain: usize,
    /// Fleet size up to which every instance watches.
    pub small_fleet_size: usize,
}

impl Default for ReaderElection {
    fn default() -> Self {
        Self {
            readers_per_domain: 3,
            small_fleet_size: 32,
        }
    }
}

impl ReaderElection {
    /// Says whether the instance `own` of the failure domain `domain` watches the platform.
    ///
    /// `members` are the live instances with their failure domains as far as they are known. An instance of
    /// unknown domain does not compete, so missing knowledge leads to more readers, never to none.
    pub fn is_reader<'a>(
        &self,
        own: &InstanceId,
        domain: &FailureDomain,
        members: impl IntoIterator<Item = (&'a InstanceId, Option<&'a FailureDomain>)>,
    ) -> bool {
        let members: Vec<_> = members.into_iter().collect();
        if members.len() <= self.small_fleet_size {
            return true;
        }
        let rivals = members
            .into_iter()
            .filter(|(id, other)| *id != own && *other == Some(domain))
            .map(|(id, _)| id);
        let key = RendezvousHash::of_key(&["reader", domain.as_str()]);
        let score = RendezvousHash::of_member(own.as_str()).score(key);
        let higher = rivals
            .filter(|id| (RendezvousHash::of_member(id.as_str()).score(key), *id) > (score, own));
        higher.take(self.readers_per_domain).count() < self.readers_per_domain
    }
}
