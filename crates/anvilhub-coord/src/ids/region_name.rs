use super::text_id::text_id;

text_id! {
    /// Region, a set of failure domains within which data may move.
    RegionName
}
