use derive_more::Display;
use serde::Serialize;

/// Change of one property.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize)]
#[display("{field}: {old} -> {new}")]
pub struct ValueChange {
    /// Name of the property.
    pub field: String,
    /// Value in the earlier sheet.
    pub old: String,
    /// Value in the later sheet.
    pub new: String,
}

impl ValueChange {
    /// Returns the change of `field` if `old` and `new` differ.
    pub(crate) fn between<T: PartialEq + ToString>(
        field: impl Into<String>,
        old: T,
        new: T,
    ) -> Option<Self> {
        if old == new {
            return None;
        }
        Some(Self {
            field: field.into(),
            old: old.to_string(),
            new: new.to_string(),
        })
    }
}
