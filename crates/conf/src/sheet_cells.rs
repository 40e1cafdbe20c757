use std::str::FromStr;

use csv::StringRecord;
use model::{Adjacency, Class, InvalidId};

use crate::{Column, SheetError, SheetFault};

/// Cells of one line and the errors found in them.
#[derive(Debug)]
pub(crate) struct Cells<'a> {
    line: u64,
    columns: &'a [Column],
    record: &'a StringRecord,
    errors: Vec<SheetError>,
}

impl<'a> Cells<'a> {
    pub(crate) const fn new(line: u64, columns: &'a [Column], record: &'a StringRecord) -> Self {
        Self {
            line,
            columns,
            record,
            errors: Vec::new(),
        }
    }

    pub(crate) const fn line(&self) -> u64 {
        self.line
    }

    pub(crate) fn into_errors(self) -> Vec<SheetError> {
        self.errors
    }

    pub(crate) fn add_error(&mut self, column: Column, fault: SheetFault) {
        self.errors.push(SheetError {
            line: self.line,
            column: Some(column),
            fault,
        });
    }

    /// Returns the text of a cell; empty if the column or the cell is absent.
    pub(crate) fn text(&self, column: Column) -> &'a str {
        let index = self.columns.iter().position(|known| *known == column);
        index.and_then(|index| self.record.get(index)).unwrap_or("")
    }

    pub(crate) fn id<T: FromStr<Err = InvalidId>>(&mut self, column: Column) -> Option<T> {
        if self.text(column).is_empty() {
            self.add_error(column, SheetFault::Missing);
            return None;
        }
        self.optional_id(column)
    }

    pub(crate) fn optional_id<T: FromStr<Err = InvalidId>>(&mut self, column: Column) -> Option<T> {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        text.parse()
            .map_err(|error: InvalidId| self.add_error(column, error.into()))
            .ok()
    }

    pub(crate) fn number(&mut self, column: Column, min: u32, max: u32, default: Option<u32>) -> Option<u32> {
        if self.text(column).is_empty() {
            if default.is_none() {
                self.add_error(column, SheetFault::Missing);
            }
            return default;
        }
        self.optional_number(column, min, max)
    }

    pub(crate) fn optional_number(&mut self, column: Column, min: u32, max: u32) -> Option<u32> {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        let number = text.parse().ok().filter(|number| (min..=max).contains(number));
        if number.is_none() {
            self.add_error(
                column,
                SheetFault::Number {
                    text: text.to_owned(),
                    min,
                    max,
                },
            );
        }
        number
    }

    pub(crate) fn adjacency(&mut self) -> Option<Adjacency> {
        const CHOICES: &[(&str, Adjacency)] = &[
            ("worker", Adjacency::Worker),
            ("rack", Adjacency::Rack),
            ("data_centre", Adjacency::DataCentre),
        ];
        self.choice(Column::Adjacency, CHOICES, "worker, rack, data_centre")
    }

    pub(crate) fn class(&mut self) -> Option<Class> {
        self.choice(
            Column::Class,
            &[("urgent", Class::Urgent), ("deferred", Class::Deferred)],
            "urgent, deferred",
        )
    }

    pub(crate) fn in_service(&mut self) -> Option<bool> {
        self.choice(Column::State, &[("in", true), ("out", false)], "in, out")
    }

    fn choice<T: Copy>(&mut self, column: Column, choices: &[(&str, T)], allowed: &'static str) -> Option<T> {
        let text = self.text(column);
        if text.is_empty() {
            self.add_error(column, SheetFault::Missing);
            return None;
        }
        let found = choices.iter().find(|(name, _)| *name == text).map(|(_, value)| *value);
        if found.is_none() {
            self.add_error(
                column,
                SheetFault::InvalidChoice {
                    text: text.to_owned(),
                    allowed,
                },
            );
        }
        found
    }

    /// Adds an error for each filled cell in a column that the record does not use.
    pub(crate) fn reject_unused(&mut self, used: &[Column]) {
        for column in Column::ALL {
            let text = self.text(column);
            let applies = matches!(column, Column::Record | Column::Name) || used.contains(&column);
            if !applies && !text.is_empty() {
                self.add_error(column, SheetFault::NotApplicable { text: text.to_owned() });
            }
        }
    }
}
