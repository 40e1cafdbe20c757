use std::fmt;

use net::peer::{HeartbeatRequest, PeerState};
use prost::Message;

use crate::{CapacityPoint, LinearFit, Workload};

/// Control cost extrapolated to the design scale, with its limits.
#[derive(Debug, Clone)]
pub struct CapacityReport {
    points: Vec<CapacityPoint>,
}

/// Figure of each point that is fitted and extrapolated.
struct Fitted {
    label: &'static str,
    value: fn(&CapacityPoint) -> f64,
}

const FITTED: [Fitted; 9] = [
    Fitted {
        label: "scheduler and policy, KiB",
        value: |point| point.memory_bytes / 1_024.0,
    },
    Fitted {
        label: "policy alone, KiB",
        value: |point| point.policy_memory_bytes / 1_024.0,
    },
    Fitted {
        label: "steady, millicores",
        value: |point| point.steady_core_share * 1_000.0,
    },
    Fitted {
        label: "job, us",
        value: |point| point.per_job.as_secs_f64() * 1e6,
    },
    Fitted {
        label: "job, policy alone, us",
        value: |point| point.policy_per_job.as_secs_f64() * 1e6,
    },
    Fitted {
        label: "configuration change, us",
        value: |point| point.per_configuration.as_secs_f64() * 1e6,
    },
    Fitted {
        label: "renew requests, B/s",
        value: |point| point.renew_bytes_per_s.0,
    },
    Fitted {
        label: "renew reports, B/s",
        value: |point| point.renew_bytes_per_s.1,
    },
    Fitted {
        label: "renew JSON, millicores",
        value: |point| point.json_core_share * 1_000.0,
    },
];

impl CapacityReport {
    /// Workers of one of the four data centres at the design scale.
    pub const WORKERS: u32 = 240;
    /// Tasks of one of the four data centres at the design scale.
    pub const TASKS: u32 = 5_000;
    const DATA_CENTRES: f64 = 4.0;
    const CONFIGURATIONS_PER_DAY: f64 = 520.0;
    /// Instances in each data centre; the design document gives 6 for the three data centres of today.
    const INSTANCES_PER_DATA_CENTRE: u32 = 6;

    /// Creates the report from points that vary in tasks and in workers.
    pub const fn new(points: Vec<CapacityPoint>) -> Self {
        Self { points }
    }

    fn fit(&self, figure: &Fitted) -> LinearFit {
        let point = |point: &CapacityPoint| (f64::from(point.tasks), f64::from(point.workers), (figure.value)(point));
        LinearFit::new(&self.points.iter().map(point).collect::<Vec<_>>())
    }

    /// Returns the heartbeat bytes per second that an ordinary instance and a delegate send, without gRPC framing.
    ///
    /// Both send to the other instances of their data centre and to one instance in each other data centre; a delegate
    /// also relays the states of its data centre to the latter.
    fn heartbeat_bytes_per_s() -> (f64, f64) {
        let state = |index: u32| PeerState {
            instance: format!("entry-{index:03}"),
            data_centre: "dc1".into(),
            config_version: 100_000,
            started_unix_ms: 1_700_000_000_000,
            heartbeat: 1_000_000,
            store_reachable: true,
            scheduler_of: "dc1".into(),
            epoch: 1_000,
            granted_slots: 16,
            busy_slots: 8,
            age_ms: 500,
            free_accelerators: 1_000,
            ..PeerState::default()
        };
        let others = Self::INSTANCES_PER_DATA_CENTRE - 1;
        let message = |relayed: u32| {
            let request = HeartbeatRequest {
                sender: Some(state(0)),
                relayed: (1..=relayed).map(state).collect(),
            };
            request.encoded_len() as f64
        };
        let near = message(0) * f64::from(others);
        let far = message(0) * (Self::DATA_CENTRES - 1.0);
        let delegate = message(others) * (Self::DATA_CENTRES - 1.0);
        (near + far, near + delegate)
    }
}

impl fmt::Display for CapacityReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "measured in one data centre of four; memory is live bytes, times are of one thread"
        )?;
        write!(f, "{:>8}{:>8}", "workers", "tasks")?;
        for figure in &FITTED {
            write!(f, "{:>31}", figure.label)?;
        }
        writeln!(f)?;
        for point in &self.points {
            write!(f, "{:>8}{:>8}", point.workers, point.tasks)?;
            for figure in &FITTED {
                write!(f, "{:>31.3}", (figure.value)(point))?;
            }
            writeln!(f)?;
        }
        writeln!(f, "\nleast-squares plane over these points")?;
        writeln!(
            f,
            "{:<32}{:>12}{:>14}{:>14}{:>16}",
            "figure", "fixed", "per task", "per worker", "worst deviation"
        )?;
        for figure in &FITTED {
            let fit = self.fit(figure);
            writeln!(
                f,
                "{:<32}{:>12.3}{:>14.6}{:>14.6}{:>16.3}",
                figure.label, fit.fixed, fit.per_task, fit.per_worker, fit.worst_deviation
            )?;
        }
        self.extrapolate(f)
    }
}

impl CapacityReport {
    fn extrapolate(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |index: usize| {
            self.fit(&FITTED[index])
                .at(f64::from(Self::TASKS), f64::from(Self::WORKERS))
        };
        let workload = Workload::letter();
        let shapes: f64 = workload.narrow_shapes.iter().map(|entry| entry.1).sum();
        let accelerators = workload
            .narrow_shapes
            .iter()
            .map(|(shape, weight)| f64::from(shape.accelerators()) * weight);
        let mean_run_s = workload.narrow_median_ms * (workload.narrow_sigma.powi(2) / 2.0).exp() / 1_000.0;
        let jobs_per_s = workload.narrow_load * 23_040.0 / (accelerators.sum::<f64>() / shapes) / mean_run_s;
        let jobs = at(3) / 1e6 * jobs_per_s / Self::DATA_CENTRES;
        let configurations = at(5) / 1e6 * Self::CONFIGURATIONS_PER_DAY / 86_400.0;
        let scheduler_core = (at(2) + at(8)) / 1_000.0 + jobs + configurations;
        let (member, delegate) = Self::heartbeat_bytes_per_s();
        let renewals = at(6) + at(7);
        let workers = f64::from(Self::WORKERS);
        writeln!(
            f,
            "\ndesign scale: 4 x {} workers and {} tasks, 34 organisations, {jobs_per_s:.0} short jobs/s (letter workload), 520 configuration changes a day",
            Self::WORKERS,
            Self::TASKS
        )?;
        writeln!(
            f,
            "{:<44}{:>18}{:>18}{:>10}",
            "figure", "holder instance", "per worker node", "limit"
        )?;
        let mut row = |label: &str, holder: f64, limit: &str| {
            writeln!(f, "{label:<44}{holder:>18.4}{:>18.6}{limit:>10}", holder / workers)
        };
        row("core %: renewals and ticks", at(2) / 10.0, "")?;
        row("core %: JSON of renewals", at(8) / 10.0, "")?;
        row("core %: jobs", jobs * 100.0, "")?;
        row("core %: configuration changes", configurations * 100.0, "")?;
        row("core %: sum", scheduler_core * 100.0, "2.6")?;
        row("memory MiB: scheduler and policy", at(0) / 1_024.0, "64")?;
        row("KB/s: renewals, bodies only", renewals / 1_000.0, "26")?;
        row("KB/s: heartbeats of a delegate, bodies only", delegate / 1_000.0, "26")?;
        writeln!(
            f,
            "heartbeats of an instance that is no delegate: {:.3} KB/s",
            member / 1_000.0
        )?;
        writeln!(
            f,
            "not included: HTTP and gRPC framing, system calls, store client, urgent path, allocator overhead, program text"
        )
    }
}
