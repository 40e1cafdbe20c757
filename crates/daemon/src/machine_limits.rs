use clap::ArgMatches;
use conf::Settings;

/// Limits of the machine from the command line, which replace those of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MachineLimits {
    memory_mb: Option<u64>,
    max_fds: Option<u64>,
}

impl MachineLimits {
    /// Takes the limits from the arguments `memory-mb` and `max-fds`.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        Self {
            memory_mb: matches.get_one("memory-mb").copied(),
            max_fds: matches.get_one("max-fds").copied(),
        }
    }

    /// Replaces the limits in the settings.
    pub(crate) const fn apply(self, settings: &mut Settings) {
        if let Some(memory_mb) = self.memory_mb {
            settings.intake.memory_mb = memory_mb;
        }
        if let Some(max_fds) = self.max_fds {
            settings.intake.max_fds = max_fds;
        }
    }
}
