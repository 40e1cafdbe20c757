use nix::sys::prctl;

/// Keeps transparent huge pages from this process: each becomes resident as a whole for one small object.
///
/// Without them, the resident size follows what the budgets of the process count. A kernel that refuses is logged.
pub(crate) fn disable_huge_pages() {
    if let Err(error) = prctl::set_thp_disable(true) {
        spdlog::warn!("huge_pages_not_disabled", kv: { cause = error.to_string() });
    }
}
