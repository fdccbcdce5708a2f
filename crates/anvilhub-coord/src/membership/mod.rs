//! Membership of the fleet: which members are live, which one owns a shard, and which peers to gossip with.

mod gossip_plan;
mod member_record;
mod member_state;
mod member_table;
mod rendezvous_hash;
mod sample_rule;
mod shard_owners;
mod start_sample;

pub use gossip_plan::GossipPlan;
pub use member_state::MemberState;
pub use member_table::MemberTable;
pub use rendezvous_hash::RendezvousHash;
pub use sample_rule::SampleRule;
pub use shard_owners::ShardOwners;
pub use start_sample::{SampleAnswer, SampleVerdict, StartSample};
