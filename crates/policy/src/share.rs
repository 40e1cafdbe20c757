use model::Shape;

use crate::WorkerKey;
use crate::amount::Amount;

/// All slices of one organisation with the same shape, which its jobs may use in any combination.
#[derive(Debug)]
pub(crate) struct Share {
    pub organisation: u16,
    pub shape: Shape,
    pub guaranteed: Amount,
    /// Used by the owner's work.
    pub charged: Amount,
    /// Workers that provide it, in topology order.
    pub workers: Vec<WorkerKey>,
}

/// Part of a share on one worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Portion {
    pub share: u16,
    pub organisation: u16,
    pub shape: Shape,
    pub guaranteed: Amount,
    pub charged: Amount,
}

/// Amount that is charged to a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Charge {
    pub share: u16,
    pub amount: Amount,
}

impl Charge {
    /// Returns the charge that reverses this one.
    pub fn negated(self) -> Self {
        Self {
            amount: Amount::default() - self.amount,
            ..self
        }
    }
}
