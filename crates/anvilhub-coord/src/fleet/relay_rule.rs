use super::{CoreShare, MemberInfo};

/// Chooses the instance that gathers a request's parts on behalf of a smaller one.
///
/// Answers the load of many parts a request on instances of unequal size: an instance with an eighth of a core takes
/// half of a caller's aim only to send a hundred parts, and its many connections rest for longer than upstreams keep
/// them open. A few larger instances send faster, and their connections stay in use.
#[derive(Clone, Copy, Debug)]
pub struct RelayRule {
    /// How many times larger than the own instance a relay must be: one more hop has to pay.
    pub least_ratio: f64,
    /// Least parts of a request that is passed on; fewer are sent in about the time of a hop.
    pub least_parts: usize,
}

impl Default for RelayRule {
    fn default() -> Self {
        Self {
            least_ratio: 2.0,
            least_parts: 16,
        }
    }
}

impl RelayRule {
    /// Says whether requests with this many parts are passed on at all.
    pub fn wants(&self, parts: usize) -> bool {
        parts >= self.least_parts
    }

    /// The relay to use, one of the own failure domain if there is any. Larger ones are chosen more often;
    /// `random` gives a number from 0 to 1.
    pub fn choose<'a>(
        &self,
        own: &MemberInfo,
        members: impl Iterator<Item = &'a MemberInfo>,
        random: f64,
    ) -> Option<&'a MemberInfo> {
        let least = own.cores.get() * self.least_ratio;
        let relays: Vec<&MemberInfo> = members
            .filter(|note| !note.is_leaving && note.cores.get() >= least)
            .collect();
        let near: Vec<&MemberInfo> = relays
            .iter()
            .copied()
            .filter(|note| note.failure_domain == own.failure_domain)
            .collect();
        let relays = if near.is_empty() { relays } else { near };
        let total: f64 = relays.iter().map(|note| weight(note.cores)).sum();
        let mut rest = total * random;
        for relay in &relays {
            rest -= weight(relay.cores);
            if rest < 0.0 {
                return Some(relay);
            }
        }
        relays.last().copied()
    }
}

fn weight(cores: CoreShare) -> f64 {
    cores.get().max(0.0)
}
