use std::fmt;

use thiserror::Error;

use crate::{Column, SheetFault};

/// Fault in a sheet and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetError {
    /// Line, starting at 1; 0 if unknown.
    pub line: u64,
    /// Column, if the fault is in a single one.
    pub column: Option<Column>,
    /// What is wrong.
    pub fault: SheetFault,
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.column {
            Some(column) => write!(f, "line {}, column {column}: {}", self.line, self.fault),
            None => write!(f, "line {}: {}", self.line, self.fault),
        }
    }
}

/// All faults in a sheet, in order of lines. No part of a faulty sheet is applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SheetErrors {
    errors: Vec<SheetError>,
}

impl SheetErrors {
    /// Creates the error from its faults and sorts them by line.
    pub fn new(mut errors: Vec<SheetError>) -> Self {
        errors.sort_by_key(|error| (error.line, error.column));
        Self { errors }
    }

    pub(crate) fn single(line: u64, column: Option<Column>, fault: SheetFault) -> Self {
        Self {
            errors: vec![SheetError { line, column, fault }],
        }
    }

    /// Returns the faults in order of lines.
    pub fn errors(&self) -> &[SheetError] {
        &self.errors
    }
}

impl fmt::Display for SheetErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}
