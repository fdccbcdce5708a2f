use std::fmt;

use serde::de::{Deserializer, Error, Unexpected, Visitor};

/// First number that a JSON document may round when it writes it with a point or an exponent: 2^53.
const MAX_EXACT_REAL: f64 = 9_007_199_254_740_992.0;

/// Deserializes a whole number from 0 on, in each form that JSON has for it: `10`, `10.0` and `1e1` are the same number.
///
/// # Errors
///
/// Fails if the value is no number, has a fraction, is negative or does not fit into `T`.
pub fn deserialize_whole<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = deserializer.deserialize_any(WholeVisitor)?;
    T::try_from(number)
        .map_err(|_| Error::invalid_value(Unexpected::Unsigned(number), &"a smaller number"))
}

struct WholeVisitor;

impl Visitor<'_> for WholeVisitor {
    type Value = u64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a whole number from 0 on")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<u64, E> {
        Ok(number)
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<u64, E> {
        u64::try_from(number).map_err(|_| E::invalid_value(Unexpected::Signed(number), &self))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<u64, E> {
        match number.fract() == 0.0 && (0.0..MAX_EXACT_REAL).contains(&number) {
            true => Ok(number as u64),
            false => Err(E::invalid_value(Unexpected::Float(number), &self)),
        }
    }
}

/// Defines a newtype of a whole number, for numeric identifiers, versions, counts, limits and sizes.
macro_rules! whole_number {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            derive_more::Display, derive_more::From, derive_more::Into, derive_more::FromStr,
            serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the plain number.
            pub fn get(self) -> $inner {
                self.0
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(
                deserializer: D,
            ) -> std::result::Result<Self, D::Error> {
                crate::ids::deserialize_whole(deserializer).map(Self)
            }
        }
    };
}

pub(crate) use whole_number;
