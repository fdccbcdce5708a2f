use crate::ids::{FailureDomain, InstanceId};
use crate::membership::RendezvousHash;

/// Decides which instances watch the platform.
///
/// The request rate that the platform can serve grows more slowly than the fleet. In a large fleet a few instances in
/// each failure domain therefore watch the platform, and the others learn of changes from peers. Every instance decides
/// for itself. While instances know different members, more or fewer of them than intended may watch.
///
/// This rule is for instances that accept sheets. Instances of a gateway use [`ReaderRule`](crate::fleet::ReaderRule),
/// which prefers the largest instances and names the reader that each of the others follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderElection {
    /// Number of readers in each failure domain. With three, two may have failed without the list showing it yet.
    pub readers_per_domain: usize,
    /// Maximum number of live members of a small fleet, in which every instance watches.
    pub max_small_fleet_members: usize,
}

impl Default for ReaderElection {
    fn default() -> Self {
        Self {
            readers_per_domain: 3,
            max_small_fleet_members: 32,
        }
    }
}

impl ReaderElection {
    /// Returns whether the instance `own_id` in the failure domain `domain` watches the platform.
    ///
    /// `members` are the live instances with their failure domains, if known. Instances with an unknown domain are not
    /// counted, so that missing knowledge leads to more readers, never to none.
    pub fn is_reader<'a>(
        &self,
        own_id: &InstanceId,
        domain: &FailureDomain,
        members: impl IntoIterator<Item = (&'a InstanceId, Option<&'a FailureDomain>)>,
    ) -> bool {
        let members: Vec<_> = members.into_iter().collect();
        if members.len() <= self.max_small_fleet_members {
            return true;
        }
        let domain_peers = members
            .into_iter()
            .filter(|(id, peer_domain)| *id != own_id && *peer_domain == Some(domain))
            .map(|(id, _)| id);
        let key = RendezvousHash::of_key(&["reader", domain.as_str()]);
        let own_score = RendezvousHash::of_member(own_id.as_str()).score(key);
        let preferred_peers = domain_peers.filter(|id| {
            (RendezvousHash::of_member(id.as_str()).score(key), *id) > (own_score, own_id)
        });
        preferred_peers.take(self.readers_per_domain).count() < self.readers_per_domain
    }
}
