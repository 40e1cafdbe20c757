use std::collections::BTreeMap;

use csv::{Reader, ReaderBuilder, StringRecord, Trim};
use model::{Class, Config, DataCentreId, DataCentreStatus, Guarantee, Organisation, OrganisationId, Priority, Shape};

use crate::sheet_cells::Cells;
use crate::{Column, SheetError, SheetErrors, SheetFault};

/// Parser of the operators' sheet: organisations, guarantees, data centres and the day's priorities as CSV.
///
/// The first line names the columns, in any order; `record` and `name` are required. Each further line is one record:
///
/// | `record` | uses the columns |
/// |----------|------------------|
/// | `organisation` | `name`, `weight`, `quota_accelerators`, `queue_limit` |
/// | `guarantee` | `name` (organisation), `parts`, `accelerators_per_part`, `adjacency`, `count`, `data_centre` |
/// | `data_centre` | `name`, `state` (`in` or `out`) |
/// | `priority` | `name` (organisation), `class`, `boost` |
///
/// ```
/// let config = conf::Sheet::parse("record,name,weight,state\norganisation,clyde-koi,4,\ndata_centre,dc1,,in\n")?;
/// assert_eq!(config.organisations[0].weight, 4);
/// # Ok::<(), conf::SheetErrors>(())
/// ```
#[derive(Debug)]
pub struct Sheet {
    config: Config,
    /// Line of each organisation and data centre, to detect duplicates and unresolved references.
    organisation_lines: BTreeMap<OrganisationId, u64>,
    data_centre_lines: BTreeMap<DataCentreId, u64>,
    /// References, which are resolved after all lines are read.
    organisation_references: Vec<(u64, OrganisationId)>,
    data_centre_references: Vec<(u64, DataCentreId)>,
    errors: Vec<SheetError>,
}

impl Sheet {
    /// Largest sheet in bytes.
    pub const MAX_BYTES: usize = 4 << 20;

    /// Reads and checks a sheet as a whole. The version of the result is 0.
    ///
    /// # Errors
    ///
    /// Returns [`SheetErrors`] with all faults in order of lines.
    pub fn parse(text: &str) -> Result<Config, SheetErrors> {
        if text.len() > Self::MAX_BYTES {
            return Err(SheetErrors::single(1, None, SheetFault::TooLarge { bytes: text.len() }));
        }
        let mut reader = ReaderBuilder::new()
            .trim(Trim::All)
            .flexible(true)
            .comment(Some(b'#'))
            .from_reader(text.as_bytes());
        let columns = Self::parse_header(&mut reader)?;
        let mut sheet = Self {
            config: Config::default(),
            organisation_lines: BTreeMap::new(),
            data_centre_lines: BTreeMap::new(),
            organisation_references: Vec::new(),
            data_centre_references: Vec::new(),
            errors: Vec::new(),
        };
        let mut record = StringRecord::new();
        loop {
            match reader.read_record(&mut record) {
                Ok(false) => break,
                Ok(true) => sheet.read_line(&columns, &record),
                Err(error) => {
                    let line = error.position().map_or(0, csv::Position::line);
                    sheet.errors.push(SheetError {
                        line,
                        column: None,
                        fault: SheetFault::Csv {
                            message: error.to_string(),
                        },
                    });
                }
            }
        }
        sheet.finish()
    }

    fn parse_header(reader: &mut Reader<&[u8]>) -> Result<Vec<Column>, SheetErrors> {
        let header = match reader.headers() {
            Ok(header) => header.clone(),
            Err(error) => {
                return Err(SheetErrors::single(
                    1,
                    None,
                    SheetFault::Csv {
                        message: error.to_string(),
                    },
                ));
            }
        };
        let mut errors = Vec::new();
        let mut columns = Vec::new();
        for name in &header {
            match name.parse::<Column>() {
                Ok(column) if columns.contains(&column) => {
                    errors.push(SheetError {
                        line: 1,
                        column: Some(column),
                        fault: SheetFault::Duplicate,
                    });
                }
                Ok(column) => columns.push(column),
                Err(fault) => errors.push(SheetError {
                    line: 1,
                    column: None,
                    fault,
                }),
            }
        }
        for required in [Column::Record, Column::Name] {
            if !columns.contains(&required) {
                errors.push(SheetError {
                    line: 1,
                    column: Some(required),
                    fault: SheetFault::Missing,
                });
            }
        }
        if errors.is_empty() {
            Ok(columns)
        } else {
            Err(SheetErrors::new(errors))
        }
    }

    fn read_line(&mut self, columns: &[Column], record: &StringRecord) {
        let line = record.position().map_or(0, csv::Position::line);
        if record.len() > columns.len() {
            let fault = SheetFault::TooManyCells {
                cells: record.len(),
                columns: columns.len(),
            };
            self.errors.push(SheetError {
                line,
                column: None,
                fault,
            });
            return;
        }
        let mut cells = Cells::new(line, columns, record);
        match cells.text(Column::Record) {
            "organisation" => self.read_organisation(&mut cells),
            "guarantee" => self.read_guarantee(&mut cells),
            "data_centre" => self.read_data_centre(&mut cells),
            "priority" => self.read_priority(&mut cells),
            other => {
                let fault = SheetFault::UnknownRecord { text: other.to_owned() };
                cells.add_error(Column::Record, fault);
            }
        }
        self.errors.extend(cells.into_errors());
    }

    fn read_organisation(&mut self, cells: &mut Cells<'_>) {
        let id = cells.id::<OrganisationId>(Column::Name);
        let weight = cells.number(Column::Weight, 1, 1_000_000, Some(1));
        let quota_accelerators = cells.optional_number(Column::QuotaAccelerators, 1, 1_000_000);
        let queue_limit = cells.number(Column::QueueLimit, 1, 1_000_000, Some(10_000));
        cells.reject_unused(&[Column::Weight, Column::QuotaAccelerators, Column::QueueLimit]);
        let (Some(id), Some(weight), Some(queue_limit)) = (id, weight, queue_limit) else {
            return;
        };
        if self.organisation_lines.insert(id.clone(), cells.line()).is_some() {
            cells.add_error(Column::Name, SheetFault::Duplicate);
            return;
        }
        self.config.organisations.push(Organisation {
            id,
            weight,
            quota_accelerators,
            queue_limit,
            guarantees: Vec::new(),
        });
    }

    fn read_guarantee(&mut self, cells: &mut Cells<'_>) {
        let id = cells.id::<OrganisationId>(Column::Name);
        let parts = cells.number(Column::Parts, 1, Shape::MAX_PARTS.into(), None);
        let per_part = cells.number(
            Column::AcceleratorsPerPart,
            1,
            Shape::MAX_ACCELERATORS_PER_PART.into(),
            None,
        );
        let adjacency = cells.adjacency();
        let count = cells.number(Column::Count, 1, u32::from(u16::MAX), Some(1));
        let data_centre = cells.optional_id::<DataCentreId>(Column::DataCentre);
        cells.reject_unused(&[
            Column::Parts,
            Column::AcceleratorsPerPart,
            Column::Adjacency,
            Column::Count,
            Column::DataCentre,
        ]);
        if let Some(data_centre) = &data_centre {
            self.data_centre_references.push((cells.line(), data_centre.clone()));
        }
        let (Some(id), Some(parts), Some(per_part), Some(adjacency), Some(count)) =
            (id, parts, per_part, adjacency, count)
        else {
            return;
        };
        self.organisation_references.push((cells.line(), id.clone()));
        let guarantee = Guarantee {
            shape: Shape::new(parts as u16, per_part as u16, adjacency),
            count: count as u16,
            data_centre,
        };
        if let Some(organisation) = self
            .config
            .organisations
            .iter_mut()
            .find(|organisation| organisation.id == id)
        {
            organisation.guarantees.push(guarantee);
        } else {
            cells.add_error(Column::Name, SheetFault::OrganisationNotListedAbove);
            self.organisation_references.pop();
        }
    }

    fn read_data_centre(&mut self, cells: &mut Cells<'_>) {
        let id = cells.id::<DataCentreId>(Column::Name);
        let in_service = cells.in_service();
        cells.reject_unused(&[Column::State]);
        let (Some(id), Some(in_service)) = (id, in_service) else {
            return;
        };
        if self.data_centre_lines.insert(id.clone(), cells.line()).is_some() {
            cells.add_error(Column::Name, SheetFault::Duplicate);
            return;
        }
        self.config.data_centres.push(DataCentreStatus { id, in_service });
    }

    fn read_priority(&mut self, cells: &mut Cells<'_>) {
        let organisation = cells.id::<OrganisationId>(Column::Name);
        let class: Option<Class> = cells.class();
        let boost = cells.number(Column::Boost, 0, u32::from(u8::MAX), None);
        cells.reject_unused(&[Column::Class, Column::Boost]);
        let (Some(organisation), Some(class), Some(boost)) = (organisation, class, boost) else {
            return;
        };
        if self
            .config
            .priorities
            .iter()
            .any(|other| other.organisation == organisation && other.class == class)
        {
            cells.add_error(Column::Name, SheetFault::Duplicate);
            return;
        }
        self.organisation_references.push((cells.line(), organisation.clone()));
        self.config.priorities.push(Priority {
            organisation,
            class,
            boost: boost as u8,
        });
    }

    fn finish(mut self) -> Result<Config, SheetErrors> {
        for (line, id) in &self.organisation_references {
            if !self.organisation_lines.contains_key(id) {
                let fault = SheetFault::UnknownOrganisation {
                    organisation: id.clone(),
                };
                self.errors.push(SheetError {
                    line: *line,
                    column: Some(Column::Name),
                    fault,
                });
            }
        }
        for (line, id) in &self.data_centre_references {
            if !self.data_centre_lines.contains_key(id) {
                let fault = SheetFault::UnknownDataCentre {
                    data_centre: id.clone(),
                };
                self.errors.push(SheetError {
                    line: *line,
                    column: Some(Column::DataCentre),
                    fault,
                });
            }
        }
        if self.errors.is_empty() && self.config.data_centres.is_empty() {
            return Err(SheetErrors::single(1, Some(Column::Record), SheetFault::NoDataCentre));
        }
        if !self.errors.is_empty() {
            return Err(SheetErrors::new(self.errors));
        }
        self.config.organisations.sort_by(|a, b| a.id.cmp(&b.id));
        self.config.data_centres.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(self.config)
    }
}
