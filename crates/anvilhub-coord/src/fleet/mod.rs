//! Decisions of instances that act together without stored state: who is there, who reads the platform for the
//! others, how news spreads, and which instance does work that is too large for another.

mod core_share;
mod feed_log;
mod feed_news;
mod feed_record;
mod feed_role;
mod fleet_table;
mod heard_note;
mod member_note;
mod reader_rule;
mod relay_rule;

pub use core_share::CoreShare;
pub use feed_log::FeedLog;
pub use feed_news::FeedNews;
pub use feed_record::FeedRecord;
pub use feed_role::FeedRole;
pub use fleet_table::FleetTable;
pub use heard_note::HeardNote;
pub use member_note::MemberNote;
pub use reader_rule::ReaderRule;
pub use relay_rule::RelayRule;
