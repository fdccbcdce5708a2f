//! Creates the information that instances announce about themselves, for tests.

use anvilhub_coord::fleet::{CpuCores, MemberInfo};
use anvilhub_coord::ids::Incarnation;

/// Creates what the instance with this id, failure domain and size in cores announces about itself.
pub(crate) fn member_info(instance: &str, domain: &str, cores: f64) -> MemberInfo {
    MemberInfo {
        instance: instance.parse().expect("an identifier"),
        incarnation: Incarnation(1),
        failure_domain: domain.parse().expect("an identifier"),
        cores: CpuCores(cores),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        relay_address: "127.0.0.1:2".parse().expect("an address"),
        is_leaving: false,
        is_cut_off: false,
    }
}
