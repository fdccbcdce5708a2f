//! Notes of instances, for tests.

use anvilhub_coord::fleet::{CoreShare, MemberInfo};
use anvilhub_coord::ids::Incarnation;

/// The note of an instance of this name, failure domain and size.
pub(crate) fn note(instance: &str, domain: &str, cores: f64) -> MemberInfo {
    MemberInfo {
        instance: instance.parse().expect("an identifier"),
        incarnation: Incarnation(1),
        failure_domain: domain.parse().expect("an identifier"),
        cores: CoreShare(cores),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        relay_address: "127.0.0.1:2".parse().expect("an address"),
        is_leaving: false,
    }
}
