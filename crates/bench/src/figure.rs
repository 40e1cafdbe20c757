use hdrhistogram::Histogram;

use crate::{JobKind, Metrics};

/// Figure of a report, and whether lower or higher values are better.
pub(crate) struct Figure {
    pub(crate) label: String,
    pub(crate) value: fn(&Metrics) -> f64,
    pub(crate) better: Better,
    /// Whether it is a check that the first policy is not worse than any baseline.
    pub(crate) is_target: bool,
}

#[derive(PartialEq, Eq)]
pub(crate) enum Better {
    Lower,
    Higher,
    Neither,
}

pub(crate) fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() {
        0.0
    } else {
        histogram.value_at_quantile(quantile) as f64
    }
}

fn figure(label: &str, value: fn(&Metrics) -> f64, better: Better) -> Figure {
    Figure {
        label: label.into(),
        value,
        better,
        is_target: false,
    }
}

fn target(label: &str, value: fn(&Metrics) -> f64) -> Figure {
    Figure {
        is_target: true,
        ..figure(label, value, Better::Lower)
    }
}

/// Returns all figures in the order of reports.
pub(crate) fn figures() -> Vec<Figure> {
    let mut figures = completion();
    figures.extend(state());
    figures.extend(work());
    figures
}

fn completion() -> Vec<Figure> {
    use Better::Lower;
    let mut figures = vec![
        target("completion deferred p50 ms", |m| {
            quantile(&m.deferred_completion_ms(), 0.5)
        }),
        target("completion deferred p99 ms", |m| {
            quantile(&m.deferred_completion_ms(), 0.99)
        }),
        target("completion deferred p99.9 ms", |m| {
            quantile(&m.deferred_completion_ms(), 0.999)
        }),
    ];
    macro_rules! kind {
        ($kind:expr) => {
            let name = $kind.name();
            figures.extend([
                figure(
                    &format!("completion {name} p50 ms"),
                    |m| quantile(&m.completion_ms[$kind as usize], 0.5),
                    Lower,
                ),
                figure(
                    &format!("completion {name} p99 ms"),
                    |m| quantile(&m.completion_ms[$kind as usize], 0.99),
                    Lower,
                ),
                figure(
                    &format!("completion {name} p99.9 ms"),
                    |m| quantile(&m.completion_ms[$kind as usize], 0.999),
                    Lower,
                ),
            ]);
        };
    }
    kind!(JobKind::Urgent);
    kind!(JobKind::Narrow);
    kind!(JobKind::Wide);
    kind!(JobKind::Owner);
    figures
}

fn state() -> Vec<Figure> {
    use Better::{Higher, Lower, Neither};
    vec![
        figure("urgent start p99 ms", |m| quantile(&m.urgent_start_ms, 0.99), Lower),
        figure("urgent start max ms", |m| m.urgent_start_ms.max() as f64, Lower),
        target("fragmentation, widest waiting, mean", |m| {
            m.mean_and_p99(|s| s.waiting_fragmentation).0
        }),
        figure(
            "fragmentation, widest waiting, p99",
            |m| m.mean_and_p99(|s| s.waiting_fragmentation).1,
            Lower,
        ),
        figure(
            "fragmentation, probe shape, mean",
            |m| m.mean_and_p99(|s| s.probe_fragmentation).0,
            Lower,
        ),
        figure(
            "fragmentation, probe shape, p99",
            |m| m.mean_and_p99(|s| s.probe_fragmentation).1,
            Lower,
        ),
        figure(
            "unusable free accelerators, mean",
            |m| {
                m.mean_and_p99(|s| s.waiting_fragmentation * f64::from(s.free_accelerators))
                    .0
            },
            Lower,
        ),
        figure(
            "share of time idle though a job fits",
            |m| m.mean_and_p99(|s| f64::from(u8::from(s.fits_waiting))).0,
            Lower,
        ),
        figure(
            "workers with a grant, mean",
            |m| m.mean_and_p99(|s| f64::from(s.grant_workers)).0,
            Lower,
        ),
        figure(
            "largest gang accelerators, mean",
            |m| m.mean_and_p99(|s| f64::from(s.largest_gang)).0,
            Higher,
        ),
        figure("running accelerators, mean", Metrics::mean_running, Higher),
        figure(
            "running tasks, mean",
            |m| m.mean_and_p99(|s| f64::from(s.running_tasks)).0,
            Neither,
        ),
        figure(
            "waiting accelerators, mean",
            |m| m.mean_and_p99(|s| f64::from(s.waiting_accelerators)).0,
            Lower,
        ),
    ]
}

fn work() -> Vec<Figure> {
    use Better::{Higher, Lower, Neither};
    vec![
        figure("absence work / allowed", Metrics::outage_work_share, Higher),
        figure("reclaims", |m| m.reclaims as f64, Neither),
        figure(
            "reclaims with too little free",
            |m| m.contended_reclaims as f64,
            Neither,
        ),
        figure("reclaim share within 5 s", Metrics::reclaim_share, Higher),
        figure("reclaim p99 ms", |m| quantile(&m.reclaim_ms, 0.99), Lower),
        figure("reclaim max ms", |m| m.reclaim_ms.max() as f64, Lower),
        figure("finished", |m| m.outcomes[0] as f64, Higher),
        figure("refused", |m| m.outcomes[1] as f64, Neither),
        figure("failed", |m| m.outcomes[2] as f64, Lower),
        figure("cancelled", |m| m.outcomes[3] as f64, Neither),
        figure("outcome unknown", |m| m.outcomes[4] as f64, Neither),
        figure("preemptions", |m| m.preemptions as f64, Neither),
        figure("discarded accelerator s", |m| m.discarded_ms as f64 / 1_000.0, Lower),
        figure("grant misses", |m| m.grant_misses as f64, Neither),
        figure("guarantees reported lost", |m| m.lost_guarantees as f64, Neither),
        figure("configurations rejected", |m| m.rejected_configurations as f64, Neither),
        figure("decisions", |m| m.decisions as f64, Neither),
        figure("decisions/s of policy time", Metrics::decisions_per_s, Higher),
        figure(
            "us per call",
            |m| m.policy_time.as_secs_f64() * 1e6 / m.calls.max(1) as f64,
            Lower,
        ),
    ]
}
