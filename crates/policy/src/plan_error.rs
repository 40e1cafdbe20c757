use model::{ConfigError, OrganisationId, Shape};
use thiserror::Error;

/// Error for a configuration whose guarantees cannot be met by the topology.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The configuration contradicts itself.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A guaranteed shape does not fit beside the others.
    #[error(
        "guarantee of {organisation} does not fit: {parts} parts of {accelerators} accelerators, adjacency {adjacency:?}",
        parts = shape.parts, accelerators = shape.accelerators_per_part, adjacency = shape.adjacency
    )]
    DoesNotFit {
        /// Organisation whose guarantee does not fit.
        organisation: OrganisationId,
        /// Shape that does not fit.
        shape: Shape,
    },
}
