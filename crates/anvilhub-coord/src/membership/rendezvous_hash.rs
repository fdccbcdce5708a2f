use sha2::{Digest, Sha256};

/// Hash of a member or a key for rendezvous hashing: the member with the highest score owns the key.
///
/// Members and keys are hashed once each; a score only combines two numbers, so that an owner among 1,900
/// members costs 1,900 multiplications and not as many text hashes. The same on every program version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RendezvousHash(u64);

impl RendezvousHash {
    /// Hash of a member.
    pub fn of_member(name: &str) -> Self {
        Self(digest(&["member", name]))
    }

    /// Hash of a key that consists of several parts.
    pub fn of_key(parts: &[&str]) -> Self {
        Self(digest(parts))
    }

    /// Score of this member for `key`.
    pub fn score(self, key: Self) -> u64 {
        // Finalizer of splitmix64: every input bit affects every output bit.
        let mut mixed = self.0 ^ key.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// Parts are separated by a zero byte, which identifiers cannot contain.
fn digest(parts: &[&str]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    let bytes: [u8; 32] = hasher.finalize().into();
    bytes
        .iter()
        .take(8)
        .fold(0, |number, byte| (number << 8) | u64::from(*byte))
}
