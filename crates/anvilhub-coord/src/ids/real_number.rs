/// Defines a newtype of a real number, for rates and fractions.
macro_rules! real_number {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, PartialOrd,
            derive_more::Display, derive_more::From, derive_more::Into, derive_more::FromStr,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub f64);

        impl $name {
            /// Returns the plain number.
            pub fn get(self) -> f64 {
                self.0
            }
        }
    };
}

pub(crate) use real_number;
