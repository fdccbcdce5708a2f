//! Checks that the stand-ins do what tests command. Otherwise a failure run could pass without its fault.

mod platform_reads;
mod proxy_modes;
mod replica_answers;
mod replica_limits;
mod upstream_fixture;
