//! The positions of machines in the hash ranges of their hash owner.

/// A machine's position: a 64-bit hash of its name.
pub type HashPosition = u64;

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the position of a machine. The function must never change, since the stored shard
/// map depends on it.
pub fn position(machine: &str) -> HashPosition {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in machine.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    // FNV alone lets the last bytes affect the upper bits too little, so the bits are mixed
    // further.
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
