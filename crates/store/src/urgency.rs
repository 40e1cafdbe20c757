/// Priority of a store request in the rate limiter; earlier variants are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Scheduling leases and configuration.
    Lease,
    /// Attempt records, which must be written before a start.
    Attempt,
    /// Job rows.
    Job,
    /// Charges and usage.
    Ledger,
}
