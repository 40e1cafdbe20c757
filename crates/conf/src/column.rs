use std::fmt;
use std::str::FromStr;

use crate::SheetFault;

/// Column of the sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Column {
    /// Kind of the record.
    Record,
    /// Name of the organisation or data centre.
    Name,
    /// Fair-share weight.
    Weight,
    /// Most accelerators in use at once.
    QuotaAccelerators,
    /// Most queued jobs for each class.
    QueueLimit,
    /// Parts of a guaranteed shape.
    Parts,
    /// Accelerators in each part of a guaranteed shape.
    AcceleratorsPerPart,
    /// Adjacency of a guaranteed shape.
    Adjacency,
    /// Number of shapes guaranteed.
    Count,
    /// Data centre that must provide a guaranteed shape.
    DataCentre,
    /// Whether a data centre is in service.
    State,
    /// Service class of a priority.
    Class,
    /// Boost of a priority.
    Boost,
}

impl Column {
    /// All columns, in the order of a written sheet.
    pub const ALL: [Self; 13] = [
        Self::Record,
        Self::Name,
        Self::Weight,
        Self::QuotaAccelerators,
        Self::QueueLimit,
        Self::Parts,
        Self::AcceleratorsPerPart,
        Self::Adjacency,
        Self::Count,
        Self::DataCentre,
        Self::State,
        Self::Class,
        Self::Boost,
    ];

    /// Returns the name used in the header line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Name => "name",
            Self::Weight => "weight",
            Self::QuotaAccelerators => "quota_accelerators",
            Self::QueueLimit => "queue_limit",
            Self::Parts => "parts",
            Self::AcceleratorsPerPart => "accelerators_per_part",
            Self::Adjacency => "adjacency",
            Self::Count => "count",
            Self::DataCentre => "data_centre",
            Self::State => "state",
            Self::Class => "class",
            Self::Boost => "boost",
        }
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Column {
    type Err = SheetFault;

    fn from_str(text: &str) -> Result<Self, SheetFault> {
        let found = Self::ALL.into_iter().find(|column| column.as_str() == text);
        found.ok_or_else(|| SheetFault::UnknownColumn { text: text.to_owned() })
    }
}
