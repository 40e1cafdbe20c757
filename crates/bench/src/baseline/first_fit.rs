use super::Fit;

/// Selects the first worker, rack or data centre in topology order where the job fits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FirstFit;

impl Fit for FirstFit {
    const NAME: &'static str = "first-fit";
    const TIGHTEST: bool = false;
}
