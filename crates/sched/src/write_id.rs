/// Number of a store write that the scheduler asked for; its result comes back with the same number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);
