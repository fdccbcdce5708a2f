//! The stand-ins do what tests command. Otherwise a failure run would pass without its fault.

mod platform_reads;
mod relay_modes;
mod replica_answers;
mod replica_limits;
mod upstream_rig;
