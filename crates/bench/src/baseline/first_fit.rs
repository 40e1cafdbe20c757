use super::Fit;

/// Takes the first worker, rack or data centre in order that has room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FirstFit;

impl Fit for FirstFit {
    const NAME: &'static str = "first-fit";
    const TIGHTEST: bool = false;
}
