/// Priority of a store request under the write budget; earlier variants go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Scheduling leases and configuration.
    Lease,
    /// Attempt records, on which a start waits.
    Attempt,
    /// Job rows.
    Job,
    /// Charges and usage.
    Ledger,
}
