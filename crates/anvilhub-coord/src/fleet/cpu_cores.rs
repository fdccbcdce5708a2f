use crate::ids::real_number::real_number;

real_number! {
    /// Processor time that an instance may use, in cores.
    CpuCores
}
