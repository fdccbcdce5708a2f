use super::real_number::real_number;

real_number! {
    /// Price of traffic between failure domains, in milliseconds of a caller's time for each KiB.
    TransferPrice
}
