use super::Fit;

/// Selects the worker, rack or data centre with the fewest free accelerators among those where the job fits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BestFit;

impl Fit for BestFit {
    const NAME: &'static str = "best-fit";
    const TIGHTEST: bool = true;
}
