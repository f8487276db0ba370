//! Faults that tests inject to verify that their checks detect them. They need the feature `planted`.

/// A fault in the behaviour of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Of two changes to a server's ban, the later one by the wall clock wins.
    WallClock,
    /// An unban is removed as soon as the neighbours have it.
    ForgetsEarly,
    /// A restarted process reuses its predecessor's writer and starts again at the first number.
    SecondWriter,
    /// A replica reports that it has caught up before any neighbour has confirmed it.
    ReadyEarly,
}

impl Defect {
    /// All defects.
    pub const ALL: [Defect; 4] =
        [Defect::WallClock, Defect::ForgetsEarly, Defect::SecondWriter, Defect::ReadyEarly];
}

/// The injected defect, if any.
pub type Planted = laurelroute_membership::defect::Planted<Defect>;
