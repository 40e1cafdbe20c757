use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Adjacency;

/// Shape of a job or of a guarantee: number of parts, accelerators per part, and adjacency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of parts; each part runs on one worker.
    pub parts: u16,
    /// Accelerators that each part needs on its worker.
    pub accelerators_per_part: u16,
    /// Topology constraint on the placement of the parts.
    #[serde(default)]
    pub adjacency: Adjacency,
}

impl Shape {
    /// Maximum number of parts in a gang.
    pub const MAX_PARTS: u16 = 64;
    /// Maximum number of accelerators that one part may request.
    pub const MAX_ACCELERATORS_PER_PART: u16 = 64;

    /// Creates a shape.
    pub const fn new(parts: u16, accelerators_per_part: u16, adjacency: Adjacency) -> Self {
        Self {
            parts,
            accelerators_per_part,
            adjacency,
        }
    }

    /// Returns the total number of accelerators of all parts.
    pub const fn accelerators(self) -> u32 {
        self.parts as u32 * self.accelerators_per_part as u32
    }

    /// Checks the limits on parts and accelerators.
    ///
    /// # Errors
    ///
    /// Returns [`ShapeError`] naming the field that is out of range.
    pub const fn validate(self) -> Result<(), ShapeError> {
        if self.parts == 0 || self.parts > Self::MAX_PARTS {
            return Err(ShapeError::Parts { parts: self.parts });
        }
        if self.accelerators_per_part > Self::MAX_ACCELERATORS_PER_PART {
            return Err(ShapeError::AcceleratorsPerPart {
                accelerators_per_part: self.accelerators_per_part,
            });
        }
        Ok(())
    }
}

impl Default for Shape {
    fn default() -> Self {
        Self::new(1, 1, Adjacency::Worker)
    }
}

/// Error for a shape whose fields are out of range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// The number of parts is out of range.
    #[error("parts is {parts}; allowed are 1 to {max}", max = Shape::MAX_PARTS)]
    Parts {
        /// Rejected number of parts.
        parts: u16,
    },
    /// The number of accelerators per part is out of range.
    #[error("accelerators_per_part is {accelerators_per_part}; allowed are 0 to {max}", max = Shape::MAX_ACCELERATORS_PER_PART)]
    AcceleratorsPerPart {
        /// Rejected number of accelerators.
        accelerators_per_part: u16,
    },
}
