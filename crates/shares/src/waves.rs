/// Returns in how many waves `tasks` run of which at most `at_once` fit at a time; 1 if nothing limits them or not even one
/// fits, as then no number of waves describes the wait.
pub const fn waves(tasks: u64, at_once: u64) -> u64 {
    if at_once == 0 || tasks <= at_once {
        1
    } else {
        tasks.div_ceil(at_once)
    }
}
