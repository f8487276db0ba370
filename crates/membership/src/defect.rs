//! Faults that tests inject to verify that their checks detect them. They need the feature `planted`.

/// A fault in the behaviour of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A member that was silent once stays suspected, whatever is received from it.
    NoRefutation,
    /// A member that was paused takes the gap for a silence of the others.
    NoSelfDoubt,
    /// A restarted process has the same incarnation as before.
    LifeComesBack,
    /// A member computes its share from the number of members in its view, with or without a lease.
    SmallerCount,
}

impl Defect {
    /// All defects.
    pub const ALL: [Defect; 4] =
        [Defect::NoRefutation, Defect::NoSelfDoubt, Defect::LifeComesBack, Defect::SmallerCount];
}

/// The injected defect, if any.
#[derive(Clone, Copy, Debug)]
pub struct Planted<D = Defect>(Option<D>);

impl<D> Default for Planted<D> {
    fn default() -> Self {
        Planted(None)
    }
}

impl<D: PartialEq> Planted<D> {
    /// Injects this defect.
    #[cfg(feature = "planted")]
    pub fn some(defect: D) -> Self {
        Planted(Some(defect))
    }

    /// Whether this defect is injected.
    pub fn is(&self, defect: D) -> bool {
        cfg!(feature = "planted") && self.0 == Some(defect)
    }
}
