//! Where a machine stands among all others of its hash owner.

/// A machine's position: a hash of its name.
pub type HashPosition = u64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The position of a machine. It must never change: the stored shard map rests on it.
pub fn position(machine: &str) -> HashPosition {
    let mut hash = FNV_OFFSET;
    for byte in machine.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    // FNV alone moves the last bytes too little into the upper bits.
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
