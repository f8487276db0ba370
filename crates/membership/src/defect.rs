//! Defects that tests plant, to see that their checks find them. Without the feature `planted` none can be.

/// What is done wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Who has once been silent stays accused, whatever it says.
    NoRefutation,
    /// One that was paused takes its own pause for others' silence.
    NoSelfDoubt,
    /// A process that starts again has the life that it had before.
    LifeComesBack,
    /// A member takes its part by the members that it sees, lease or not.
    SmallerCount,
}

impl Defect {
    /// All of them.
    pub const ALL: [Defect; 4] =
        [Defect::NoRefutation, Defect::NoSelfDoubt, Defect::LifeComesBack, Defect::SmallerCount];
}

/// The defect that is planted, if any.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planted(#[cfg(feature = "planted")] Option<Defect>);

impl Planted {
    /// This one.
    #[cfg(feature = "planted")]
    pub fn some(defect: Defect) -> Planted {
        Planted(Some(defect))
    }

    #[cfg(feature = "planted")]
    pub(crate) fn is(self, defect: Defect) -> bool {
        self.0 == Some(defect)
    }

    #[cfg(not(feature = "planted"))]
    pub(crate) fn is(self, _: Defect) -> bool {
        false
    }
}
