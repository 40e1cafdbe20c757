/// Kind of a job in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobKind {
    /// Urgent request of one part.
    Urgent,
    /// Deferred job that needs at most one worker's accelerators.
    Narrow,
    /// Deferred gang.
    Wide,
    /// Job of a shape that is guaranteed to its organisation.
    Owner,
}

impl JobKind {
    /// All kinds in the order of reports.
    pub const ALL: [Self; 4] = [Self::Urgent, Self::Narrow, Self::Wide, Self::Owner];

    /// Returns the name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Narrow => "narrow",
            Self::Wide => "wide",
            Self::Owner => "owner",
        }
    }
}
