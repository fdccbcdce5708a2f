/// Defines a newtype of a whole number, for numeric identifiers, versions, counts, limits and sizes.
macro_rules! whole_number {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            derive_more::Display, derive_more::From, derive_more::Into, derive_more::FromStr,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the plain number.
            pub fn get(self) -> $inner {
                self.0
            }
        }
    };
}

pub(crate) use whole_number;
