use crate::ids::text_id::text_id;

text_id! {
    /// Name of a route in the configuration.
    RouteName
}
