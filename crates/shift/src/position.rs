//! Positions of requests on a hash ring. A request goes to the new pool if its position is below the share. Positions are
//! the same at every node and share, so that sessions move once as the share grows and return once on an undo.

/// A position on the ring, from 0 to `u32::MAX`.
pub type Place = u32;

/// The position of a session key. Each shift has its own `salt`, so that the first sessions to move differ.
pub fn of_key(salt: u64, key: u64) -> Place {
    // The finaliser of SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number generators, 2014).
    let mut mixed = (key ^ salt).wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((mixed ^ (mixed >> 31)) >> 32) as Place
}
