use std::fmt;

use crate::{
    Metrics,
    figure::{Better, Figure, figures, quantile},
};

/// Measurements of several policies on the same arrivals; the first one is compared with the others.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    /// Seed of the first measurements; the others are consecutive.
    pub first_seed: u64,
    /// Name of each policy and its measurements, one for each seed.
    pub policies: Vec<(&'static str, Vec<Metrics>)>,
}

impl Comparison {
    /// Upper bound on the 99th percentile of the time to the start of urgent requests.
    pub const URGENT_START_BOUND_MS: u64 = 1_600;
    /// Minimum useful work during outages of data centres, as a share of what the remaining capacity allows.
    pub const MIN_OUTAGE_WORK_SHARE: f64 = 0.9;

    /// Adds the measurements of a policy for one seed.
    pub fn add(&mut self, name: &'static str, metrics: Metrics) {
        match self.policies.iter_mut().find(|entry| entry.0 == name) {
            Some(entry) => entry.1.push(metrics),
            None => self.policies.push((name, vec![metrics])),
        }
    }

    /// Returns each policy with the measurements of all seeds together.
    pub fn pooled(&self) -> Vec<(&'static str, Metrics)> {
        let pool = |seeds: &Vec<Metrics>| {
            let mut all = Metrics::new();
            for metrics in seeds {
                all.merge(metrics);
            }
            all
        };
        self.policies.iter().map(|(name, seeds)| (*name, pool(seeds))).collect()
    }

    /// Returns the failed checks, each with its seed where it applies.
    ///
    /// With `checks_targets`, the targets of the first policy are checked too.
    pub fn failures(&self, checks_targets: bool) -> Vec<String> {
        let mut failures = Vec::new();
        for (name, seeds) in &self.policies {
            for (seed, metrics) in (self.first_seed..).zip(seeds) {
                for (what, count) in metrics.violations.entries() {
                    if count > 0 {
                        failures.push(format!("{name}, seed {seed}: {count} {what}, must be 0"));
                    }
                }
            }
        }
        let Some((name, seeds)) = self.policies.first().filter(|_| checks_targets) else {
            return failures;
        };
        for (seed, metrics) in (self.first_seed..).zip(seeds) {
            let (share, absence) = (metrics.reclaim_share(), metrics.outage_work_share());
            if metrics.reclaims_in_bound < metrics.reclaims {
                let (met, all) = (metrics.reclaims_in_bound, metrics.reclaims);
                failures.push(format!(
                    "{name}, seed {seed}: {met} of {all} reclaims in bound ({share:.3})"
                ));
            }
            let urgent = quantile(&metrics.urgent_start_ms, 0.99);
            if urgent > Self::URGENT_START_BOUND_MS as f64 {
                failures.push(format!("{name}, seed {seed}: urgent start p99 {urgent} ms"));
            }
            if absence < Self::MIN_OUTAGE_WORK_SHARE {
                failures.push(format!("{name}, seed {seed}: absence work share {absence:.3}"));
            }
        }
        let pooled = self.pooled();
        for figure in figures().iter().filter(|figure| figure.is_target) {
            let ours = (figure.value)(&pooled[0].1);
            for (baseline, metrics) in pooled.iter().skip(1).filter(|entry| entry.0.ends_with("-fit")) {
                let theirs = (figure.value)(metrics);
                if ours > theirs {
                    failures.push(format!("{}: {name} {ours:.3}, {baseline} {theirs:.3}", figure.label));
                }
            }
        }
        failures
    }
}

impl fmt::Display for Comparison {
    /// Prints one row for each figure: pooled values, ratio of each other policy to the first, and number of seeds for
    /// which the first is at least as good.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pooled = self.pooled();
        write!(f, "{:<38}", "figure")?;
        for (name, _) in &pooled {
            write!(f, "{name:>14}")?;
        }
        for (name, _) in pooled.iter().skip(1) {
            write!(f, "{:>22}", format!("{name}/{}", pooled[0].0))?;
        }
        writeln!(f)?;
        for figure in figures() {
            let values: Vec<f64> = pooled.iter().map(|entry| (figure.value)(&entry.1)).collect();
            write!(f, "{:<38}", figure.label)?;
            for value in &values {
                write!(f, "{value:>14.3}")?;
            }
            for (index, value) in values.iter().enumerate().skip(1) {
                let ratio = if values[0] == 0.0 {
                    "-".into()
                } else {
                    format!("{:.3}", value / values[0])
                };
                let wins = if figure.better == Better::Neither {
                    String::new()
                } else {
                    self.wins(&figure, index)
                };
                write!(f, "{:>22}", format!("{ratio} {wins}"))?;
            }
            writeln!(f)?;
        }
        for (index, (what, _)) in pooled[0].1.violations.entries().iter().enumerate() {
            write!(f, "{:<38}", format!("violations: {what}"))?;
            for (_, metrics) in &pooled {
                write!(f, "{:>14}", metrics.violations.entries()[index].1)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl Comparison {
    /// Returns for how many seeds the first policy is at least as good as the one with this index.
    fn wins(&self, figure: &Figure, index: usize) -> String {
        let (ours, theirs) = (&self.policies[0].1, &self.policies[index].1);
        let won = ours.iter().zip(theirs).filter(|(ours, theirs)| {
            let (ours, theirs) = ((figure.value)(ours), (figure.value)(theirs));
            if figure.better == Better::Higher {
                ours >= theirs
            } else {
                ours <= theirs
            }
        });
        format!("{}/{}", won.count(), ours.len())
    }
}
