//! Where a request stands on the hash. Its place is the same at every node and every share, and it goes to the new pool
//! where its place is below the share (`Request::within` of the decision module): what has moved stays moved as the share grows, and an undo takes each session
//! back once.

/// A place on the hash, from 0 to `u32::MAX`.
pub type Place = u32;

/// The place of a session. `salt` is the shift's own: the sessions that go first are not the same at every shift.
pub fn of_key(salt: u64, key: u64) -> Place {
    // The finaliser of SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number generators, 2014).
    let mut mixed = (key ^ salt).wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((mixed ^ (mixed >> 31)) >> 32) as Place
}
