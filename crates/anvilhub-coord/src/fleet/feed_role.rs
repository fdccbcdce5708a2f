use super::MemberInfo;

/// Where an instance gets the platform's news from.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedRole {
    /// It reads the platform itself.
    Reader,
    /// It asks another instance.
    Follower(Box<MemberInfo>),
}
