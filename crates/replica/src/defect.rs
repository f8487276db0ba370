//! Defects that tests plant, to see that their checks find them. Without the feature `planted` none can be.

/// What is done wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Of two words on a server the later one by the wall clock stands.
    WallClock,
    /// A server that was put back is forgotten as soon as the neighbours know of it.
    ForgetsEarly,
    /// A process that starts writes as the one before it did, from the beginning.
    SecondWriter,
    /// A copy counts as caught up before any neighbour has said so.
    ReadyEarly,
}

impl Defect {
    /// All of them.
    pub const ALL: [Defect; 4] =
        [Defect::WallClock, Defect::ForgetsEarly, Defect::SecondWriter, Defect::ReadyEarly];
}

/// The defect that is planted, if any.
pub type Planted = laurelroute_membership::defect::Planted<Defect>;
