/// How waiting work stands to its objective when capacity is insufficient; earlier ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// It can meet its objective and has waited for half of it; newer work no longer overtakes it.
    Aged,
    /// It can meet its objective together with all work before it.
    InTime,
    /// It could meet its objective, but others can only do so if it waits.
    Postponed,
    /// It can no longer meet its objective.
    Late,
    /// It can no longer meet its late limit, after which it has no further value.
    BeyondLimit,
}

impl Standing {
    /// All standings, in order.
    pub const ALL: [Self; 5] = [Self::Aged, Self::InTime, Self::Postponed, Self::Late, Self::BeyondLimit];

    /// Returns its name as it appears in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Aged => "aged",
            Self::InTime => "in_time",
            Self::Postponed => "postponed",
            Self::Late => "late",
            Self::BeyondLimit => "beyond_limit",
        }
    }
}
