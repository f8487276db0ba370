//! Defects that tests plant, to see that their checks find them. Without the feature `planted` none can be.

/// What is done wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Who has once been silent stays accused, whatever it says.
    NoRefutation,
    /// One that was paused takes its own pause for others' silence.
    NoSelfDoubt,
    /// A process that starts again has the incarnation that it had before.
    LifeComesBack,
    /// A member takes its part by the members that it sees, lease or not.
    SmallerCount,
}

impl Defect {
    /// All of them.
    pub const ALL: [Defect; 4] =
        [Defect::NoRefutation, Defect::NoSelfDoubt, Defect::LifeComesBack, Defect::SmallerCount];
}

/// The defect that is planted, if any, of those that a machine can have.
#[derive(Clone, Copy, Debug)]
pub struct Planted<D = Defect>(Option<D>);

impl<D> Default for Planted<D> {
    fn default() -> Self {
        Planted(None)
    }
}

impl<D: PartialEq> Planted<D> {
    /// This one.
    #[cfg(feature = "planted")]
    pub fn some(defect: D) -> Self {
        Planted(Some(defect))
    }

    /// Whether it is this one.
    pub fn is(&self, defect: D) -> bool {
        cfg!(feature = "planted") && self.0 == Some(defect)
    }
}
