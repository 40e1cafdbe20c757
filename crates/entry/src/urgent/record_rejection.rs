use model::Refusal;

/// Why nothing may be dispatched for a non-idempotent request.
pub(super) enum RecordRejection {
    Refused(Refusal),
    /// The job exists already and may run or have run.
    Exists,
}
