use std::fmt::Debug;

/// Strategy of a baseline for choosing among the workers, racks and data centres where a job fits.
pub trait Fit: Debug + Default {
    /// Name in reports.
    const NAME: &'static str;
    /// Whether the placement domain with the fewest free accelerators is chosen instead of the first in order.
    const TIGHTEST: bool;
}
