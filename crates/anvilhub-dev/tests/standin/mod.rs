//! Checks that the stand-ins do what tests command. Otherwise a fault test could pass although its fault was not
//! injected.

mod platform_reads;
mod proxy_modes;
mod replica_answers;
mod replica_limits;
mod upstream_fixture;
