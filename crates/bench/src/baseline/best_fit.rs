use super::Fit;

/// Takes the worker, rack or data centre that has room and the least free accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BestFit;

impl Fit for BestFit {
    const NAME: &'static str = "best-fit";
    const TIGHTEST: bool = true;
}
