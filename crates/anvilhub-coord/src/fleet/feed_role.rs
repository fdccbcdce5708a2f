use super::MemberInfo;

/// Where an instance gets updates of the platform's values from.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedRole {
    /// It reads the platform itself.
    Reader,
    /// It follows this reader.
    Follower(Box<MemberInfo>),
}
