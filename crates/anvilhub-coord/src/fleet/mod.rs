//! Decisions of instances that cooperate without shared storage: which members exist, which of them read the platform
//! for the others, how changes spread, and to which member a large request is relayed.

mod contact_estimate;
mod cpu_cores;
mod domain_shares;
mod feed_log;
mod feed_outcome;
mod feed_record;
mod feed_role;
mod feed_update;
mod fleet_table;
mod member_gossip;
mod member_info;
mod own_read_rule;
mod reader_rule;
mod relay_rule;
mod settling_rule;
mod silent_members;

pub use contact_estimate::ContactEstimate;
pub use cpu_cores::CpuCores;
pub use domain_shares::DomainShares;
pub use feed_log::FeedLog;
pub use feed_outcome::FeedOutcome;
pub use feed_record::FeedRecord;
pub use feed_role::FeedRole;
pub use feed_update::FeedUpdate;
pub use fleet_table::FleetTable;
pub use member_gossip::MemberGossip;
pub use member_info::MemberInfo;
pub use own_read_rule::OwnReadRule;
pub use reader_rule::ReaderRule;
pub use relay_rule::RelayRule;
pub use settling_rule::SettlingRule;
pub use silent_members::SilentMembers;
