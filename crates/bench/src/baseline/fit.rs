use std::fmt::Debug;

/// Way in which a baseline chooses among workers, racks and data centres that have room.
pub trait Fit: Debug + Default {
    /// Name in reports.
    const NAME: &'static str;
    /// Whether the place with the least free accelerators is taken, instead of the first in order.
    const TIGHTEST: bool;
}
