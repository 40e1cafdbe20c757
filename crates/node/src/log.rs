/// Writes the log lines of the scheduler, each with the epoch.
pub(crate) fn write_lines(epoch: u64, lines: Vec<String>) {
    for line in lines {
        spdlog::info!("{line} epoch={epoch}");
    }
}
