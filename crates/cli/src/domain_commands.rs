use clap::ArgMatches;
use domain::{Explanation, OrganisationShare, RunExplanation, RunRecord, SpeedState, StepExplanation, WaitCause};
use node::{InstanceReport, JobReport};

use crate::{Client, CommandError, ExitStatus, Format, output};

/// Prints the report on a job. The report of the lease holder is preferred, as only it contains the schedule.
pub(crate) async fn explain(client: &Client, format: Format, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let job = matches.get_one::<String>("job").map_or("", String::as_str);
    let mut best: Option<JobReport> = None;
    let mut failure = None;
    for server in client.servers() {
        match client
            .with_server(server)
            .get::<JobReport>(&format!("/v1/explain/{job}"))
            .await
        {
            Ok(report) => {
                let is_complete = report.schedule.is_some() || is_final(&report);
                if is_complete || best.is_none() {
                    best = Some(report);
                }
                if is_complete {
                    break;
                }
            }
            Err(error) => failure = Some(error),
        }
    }
    let Some(report) = best else {
        return Err(failure.unwrap_or_else(|| CommandError::Unreachable {
            tried: client.servers().join(", "),
        }));
    };
    match format {
        Format::Json => output::json(&report),
        Format::Table => output::line(&job_text(&report)),
    }
    Ok(ExitStatus::Success)
}

/// Prints the state that each addressed instance reports; one that does not answer is named on standard error.
pub(crate) async fn instances(client: &Client, format: Format) -> Result<ExitStatus, CommandError> {
    let mut reports = Vec::new();
    for server in client.servers() {
        match client.with_server(server).get::<InstanceReport>("/v1/instance").await {
            Ok(report) => reports.push(report),
            Err(error) => eprintln!("galenaspool: {server}: {error}"),
        }
    }
    if reports.is_empty() {
        return Err(CommandError::Unreachable {
            tried: client.servers().join(", "),
        });
    }
    match format {
        Format::Json => output::json(&reports),
        Format::Table => {
            let rows: Vec<_> = reports
                .iter()
                .filter_map(|report| serde_json::to_value(report).ok())
                .collect();
            let columns = [
                "instance",
                "data_centre",
                "is_ready",
                "holder",
                "epoch",
                "config_version",
                "config_age_ms",
                "store_heard_ms_ago",
                "out_of_service",
            ];
            output::table(&rows, &columns);
        }
    }
    Ok(ExitStatus::Success)
}

/// Returns whether the job is final, so that no scheduler has more to report.
fn is_final(report: &JobReport) -> bool {
    report.state.is_none_or(domain::JobState::is_final)
}

/// Formats a report as text.
pub fn job_text(report: &JobReport) -> String {
    let cancelled = if report.is_cancelled { ", cancelled" } else { "" };
    let accepted = match (report.accepted_unix_ms, report.accept_epoch) {
        (Some(unix_ms), Some(epoch)) => format!(", accepted {unix_ms} in epoch {epoch}"),
        _ => String::new(),
    };
    let state = report
        .state
        .map_or_else(|| "final for long".into(), |state| format!("{state:?}"));
    let mut lines = vec![
        format!(
            "job {} of {} in {}: {}{cancelled}{accepted}",
            report.job, report.organisation, report.route, state
        ),
        format!(
            "holder {} in epoch {}, answered by {}",
            report.holder, report.epoch, report.instance
        ),
    ];
    match &report.schedule {
        Some(schedule) => lines.extend(schedule_lines(schedule)),
        None if is_final(report) => {}
        None => lines.push(format!(
            "why it waits is known to {} alone; add its address to --server",
            report.holder
        )),
    }
    lines.extend(report.records.iter().map(record_line));
    lines.extend(report.gaps.iter().map(|gap| format!("GAP: {gap}")));
    lines.join("\n")
}

fn schedule_lines(schedule: &Explanation) -> Vec<String> {
    let mut lines = vec![format!(
        "priority {}, age {} ms, objective {} ms",
        schedule.priority, schedule.age_ms, schedule.objective_ms
    )];
    lines.extend(schedule.organisation.iter().map(organisation_line));
    lines.extend(
        schedule
            .speeds
            .map(|state| format!("speeds of the workers: {}", speeds_text(state))),
    );
    lines.extend(schedule.steps.iter().flat_map(step_lines));
    lines
}

fn organisation_line(share: &OrganisationShare) -> String {
    let amount = |used: u64, limit: u64, unit: &str| {
        if limit == 0 {
            format!("{used} {unit}")
        } else {
            format!("{used} of {limit} {unit}")
        }
    };
    let (used, limit) = (&share.usage, &share.maximum);
    format!(
        "organisation {}: {}, {}, {} in use; weight {}, dominant share {} permille",
        share.name,
        amount(used.accelerators, limit.accelerators, "accelerators"),
        amount(used.cpu_milli, limit.cpu_milli, "cpu_milli"),
        amount(used.memory_mib, limit.memory_mib, "memory_mib"),
        share.weight,
        share.dominant_share_permille
    )
}

fn step_lines(step: &StepExplanation) -> Vec<String> {
    let mut lines = vec![format!(
        "step {}.{}: {} of {} tasks done, {} at work",
        step.occurrence,
        step.step,
        step.done,
        step.tasks,
        step.runs.len()
    )];
    lines.extend(
        step.waits_for
            .iter()
            .map(|cause| format!("  waits for {}", cause_text(cause))),
    );
    lines.extend(
        step.idle_ms
            .map(|idle_ms| format!("  nothing at work for {idle_ms} ms although its turn has come")),
    );
    lines.extend(
        step.standing
            .iter()
            .map(|standing| format!("  capacity is insufficient; its standing is {standing}")),
    );
    lines.extend(step.workers.map(|tally| format!("  workers by rule: {tally}")));
    lines.extend(step.runs.iter().map(|run| {
        format!(
            "  task {} run {} {} on {} for {} ms, worker heard {} ms ago, {}",
            run.index,
            run.run,
            run.state,
            run.worker,
            run.since_ms,
            run.heard_ms_ago,
            speed_text(run)
        )
    }));
    lines
}

fn speed_text(run: &RunExplanation) -> String {
    run.speed_percent
        .map_or_else(|| "speed not known".into(), |percent| format!("speed {percent} %"))
}

const fn speeds_text(state: SpeedState) -> &'static str {
    match state {
        SpeedState::Unknown => "not known yet, placement ignores them",
        SpeedState::Even => "nearly equal, placement ignores them",
        SpeedState::Uneven => "different, placement takes account of them",
    }
}

fn cause_text(cause: &WaitCause) -> String {
    match cause {
        WaitCause::StartBound => "the store to confirm the bound of starts".into(),
        WaitCause::UnsavedCrash => "the store to confirm the crash of a worker under one of its tasks".into(),
        WaitCause::Isolation => "a worker without other new work, as a worker crashed under one of its tasks".into(),
        WaitCause::StaleWorkerList { age_ms } => format!("the list of workers, which is {age_ms} ms old"),
        WaitCause::StaleJobs { age_ms } => format!("the feed of jobs, which is {age_ms} ms old"),
        WaitCause::SilentWorkers { workers } => {
            format!("workers of an earlier epoch that do not answer: {}", workers.join(", "))
        }
        WaitCause::EarlierSteps { steps } => format!("steps {steps:?}"),
        WaitCause::FormerRun => "the members of its former run to end".into(),
        WaitCause::Pause { left_ms } => format!("a pause of {left_ms} ms after a rejected start"),
        WaitCause::NoWorker => "a worker that may run it".into(),
        WaitCause::OrganisationMaximum { resource, held_ms, .. } if resource == "unknown" => {
            format!("the runs of its organisation to be known, which has a maximum, for {held_ms} ms")
        }
        WaitCause::OrganisationMaximum {
            resource,
            in_use,
            limit,
            held_ms,
        } => {
            format!("the maximum of its organisation: {in_use} of {limit} {resource} in use, for {held_ms} ms")
        }
        WaitCause::Room { needed, fit, workers } => {
            format!("room: {needed} tasks have to fit, {fit} do, on {workers} workers")
        }
        WaitCause::Rack => "room in one rack, or in the rack of its data".into(),
        WaitCause::Turn => "its turn".into(),
    }
}

fn record_line(record: &RunRecord) -> String {
    let ran = record
        .ran_ms
        .map_or_else(|| "unknown time".into(), |ms| format!("{ms} ms"));
    format!(
        "task {}.{}.{} run {} on {}: {:?} after {ran}, {} accelerators",
        record.occurrence, record.step, record.index, record.run, record.worker, record.how, record.accelerators
    )
}
