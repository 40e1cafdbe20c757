/// Writes notes of the scheduler as log lines.
pub(crate) fn notes(epoch: u64, notes: Vec<String>) {
    for note in notes {
        spdlog::info!("{note} epoch={epoch}");
    }
}
