use model::{DataCentreId, InvalidId, OrganisationId};
use thiserror::Error;

/// Kind of a fault in a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SheetFault {
    /// The text is not valid CSV.
    #[error("not valid CSV: {message}")]
    Csv {
        /// Message of the CSV reader.
        message: String,
    },
    /// The sheet is too large.
    #[error("sheet has {bytes} bytes; the limit is {limit}", limit = crate::Sheet::MAX_BYTES)]
    TooLarge {
        /// Size in bytes.
        bytes: usize,
    },
    /// The header names a column that does not exist.
    #[error("column {text:?} is not known")]
    UnknownColumn {
        /// Name in the header.
        text: String,
    },
    /// The line has more cells than the header has columns.
    #[error("{cells} cells in a sheet of {columns} columns")]
    TooManyCells {
        /// Cells in the line.
        cells: usize,
        /// Columns in the header.
        columns: usize,
    },
    /// The kind of the record is not known.
    #[error("{text:?} is not a record; use organisation, guarantee, data_centre or priority")]
    UnknownRecord {
        /// Text of the cell.
        text: String,
    },
    /// A cell that the record needs is empty.
    #[error("value is missing")]
    Missing,
    /// A cell that the record does not use is filled.
    #[error("value {text:?} does not apply to this record; leave the cell empty")]
    NotApplicable {
        /// Text of the cell.
        text: String,
    },
    /// A number does not parse or is out of range.
    #[error("{text:?} is not a whole number from {min} to {max}")]
    Number {
        /// Text of the cell.
        text: String,
        /// Least allowed value.
        min: u32,
        /// Largest allowed value.
        max: u32,
    },
    /// A value is not one of the allowed ones.
    #[error("{text:?} is not one of {allowed}")]
    InvalidChoice {
        /// Text of the cell.
        text: String,
        /// Allowed values.
        allowed: &'static str,
    },
    /// An identifier is not valid.
    #[error(transparent)]
    Id(#[from] InvalidId),
    /// The record or column was already listed.
    #[error("listed twice")]
    Duplicate,
    /// The organisation of a guarantee is not listed on an earlier line.
    #[error("organisation is not listed above this line")]
    OrganisationNotListedAbove,
    /// An organisation is not listed.
    #[error("organisation {organisation} is not listed in the sheet")]
    UnknownOrganisation {
        /// Organisation.
        organisation: OrganisationId,
    },
    /// A data centre is not listed.
    #[error("data centre {data_centre} is not listed in the sheet")]
    UnknownDataCentre {
        /// Data centre.
        data_centre: DataCentreId,
    },
    /// The sheet lists no data centre.
    #[error("no data centre is listed")]
    NoDataCentre,
}
