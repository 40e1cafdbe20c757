use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use actix_rt::time::sleep;
use compact_str::CompactString;
use domain::{Job, LastRuns, Progress, StartBoundRow, StoredJob};

use super::{Input, SchedulerDriver};
use crate::clock::boot_ms;
use crate::ports::{FeedError, OwnRow, Place, Store, Workers};
use crate::rows::{
    HOLDER_REVISION, JOB_FAILURES, JOBS, JobsKey, LAST_RUNS, PENDING, PROGRESS, START_BOUND, USED_WORKERS, WAVES,
    WORKER_SPEEDS, decode, speed_row, wave_row,
};
use crate::shared::SharedRef;

/// Delay before a read of the store is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Retries a read of all places until it succeeds; returns `None` once the driver has stopped.
async fn read_until_success<S: Store, W: Workers>(
    shared: &SharedRef<S, W>,
    driver: &Addr<SchedulerDriver<S, W>>,
    places: &[Place],
) -> Option<(Vec<OwnRow>, u64)> {
    while driver.connected() {
        let reads = places.iter().map(|place| shared.read_range(place, "", ""));
        match futures_util::future::try_join_all(reads).await {
            Ok(parts) => {
                let version = parts.iter().map(|(_, version)| *version).min().unwrap_or(0);
                return Some((parts.into_iter().flat_map(|(rows, _)| rows).collect(), version));
            }
            Err(_) => sleep(RETRY_INTERVAL).await,
        }
    }
    None
}

/// Reads the rows that a new lease holder needs, then follows their changes.
pub(super) async fn load<S: Store, W: Workers>(shared: SharedRef<S, W>, driver: Addr<SchedulerDriver<S, W>>) {
    let tables = [
        USED_WORKERS,
        HOLDER_REVISION,
        LAST_RUNS,
        START_BOUND,
        PENDING,
        WAVES,
        WORKER_SPEEDS,
        JOB_FAILURES,
    ];
    let places = tables.map(|table| shared.parts.of_lease_holder(table));
    let Some((rows, _)) = read_until_success(&shared, &driver, &places).await else {
        return;
    };
    let rows_of = |table| rows.iter().filter(move |row| row.table == table);
    let used = rows_of(USED_WORKERS)
        .filter_map(|row| Some((row.key.clone(), decode::<CompactString>(row)?)))
        .collect();
    driver.do_send(Input::UsedWorkers(used));
    let last_runs: Vec<(CompactString, LastRuns)> = rows_of(LAST_RUNS)
        .filter_map(|row| Some((row.key.clone(), decode(row)?)))
        .collect();
    let are_rows_complete = last_runs.len() == rows_of(LAST_RUNS).count();
    driver.do_send(Input::LastRuns(last_runs));
    let revision = rows_of(HOLDER_REVISION).next().map_or(0, |row| row.version);
    driver.do_send(Input::HolderRevision(revision));
    let mut bound = rows_of(START_BOUND).find_map(|row| Some((decode::<StartBoundRow>(row)?, row.version)));
    if let Some((row, _)) = &mut bound {
        // A worker whose row cannot be read may run anything.
        row.are_runs_listed &= are_rows_complete;
    }
    driver.do_send(Input::FormerStartBound(bound));
    let pending = rows_of(PENDING)
        .filter_map(|row| Some((row.key.clone(), decode::<u64>(row)?)))
        .collect();
    driver.do_send(Input::Pending(pending));
    let failures = rows_of(JOB_FAILURES).filter_map(|row| Some((row.key.clone(), decode(row)?, row.version)));
    driver.do_send(Input::JobFailures(failures.collect()));
    driver.do_send(Input::WaveRows(rows_of(WAVES).filter_map(wave_row).collect()));
    driver.do_send(Input::SpeedRows(rows_of(WORKER_SPEEDS).filter_map(speed_row).collect()));
    let worker_feed = follow_workers(Rc::clone(&shared), driver.clone());
    actix_rt::spawn(shared.supervisor.run_to_completion("worker_feed", worker_feed));
    let Some(after) = load_jobs(&shared, &driver).await else {
        return;
    };
    driver.do_send(Input::Loaded);
    follow_jobs(shared, driver, after).await;
}

/// Reads jobs and progress; returns the version after which changes have to be read.
async fn load_jobs<S: Store, W: Workers>(
    shared: &SharedRef<S, W>,
    driver: &Addr<SchedulerDriver<S, W>>,
) -> Option<u64> {
    let requested_ms = boot_ms();
    let (rows, after) = read_until_success(shared, driver, &shared.parts.of_jobs(JOBS)).await?;
    let (progress, _) = read_until_success(shared, driver, &shared.parts.of_jobs(PROGRESS)).await?;
    let progress: HashMap<_, _> = progress.iter().map(|row| (row.key.clone(), row)).collect();
    let mut jobs = Vec::new();
    let mut cancels = Vec::new();
    for row in &rows {
        match JobsKey::parse(&row.key) {
            JobsKey::Cancel(id) => cancels.push(id),
            JobsKey::Job(id) => {
                let Some(progress_row) = progress.get(&id) else {
                    continue;
                };
                let (Some(job), Some(state)) = (decode::<Job>(row), decode::<Progress>(progress_row)) else {
                    continue;
                };
                jobs.push(StoredJob {
                    job,
                    progress: state,
                    inserted_version: row.version,
                    progress_version: progress_row.version,
                });
            }
        }
    }
    spdlog::info!("rows_loaded", kv: { jobs = jobs.len(), cancels = cancels.len(), version = after });
    driver.do_send(Input::Jobs(jobs));
    driver.do_send(Input::Cancels(cancels));
    driver.do_send(Input::JobsConfirmed(requested_ms));
    Some(after)
}

/// Passes new jobs and cancellations to the driver.
async fn follow_jobs<S: Store, W: Workers>(
    shared: SharedRef<S, W>,
    driver: Addr<SchedulerDriver<S, W>>,
    mut after: u64,
) {
    const FEED_WAIT_MAX_MS: u64 = 700;
    // Jobs that arrive within this time are fetched with one call.
    const BATCH_INTERVAL: Duration = Duration::from_millis(15);
    let mut wait_ms = 0;
    while driver.connected() {
        let requested_ms = boot_ms();
        let changes = shared.store.changes(JOBS, after, wait_ms);
        let result = shared.feed(wait_ms, changes).await;
        // Starts wait for a reply: after a failure it has to come at once, and a slow store is given less time to wait.
        let late_ms = boot_ms().saturating_sub(requested_ms + wait_ms);
        wait_ms = result.as_ref().map_or(0, |_| FEED_WAIT_MAX_MS.saturating_sub(late_ms));
        match result {
            Ok(page) => {
                after = page.version;
                if page.items.is_empty() {
                    driver.do_send(Input::JobsConfirmed(requested_ms));
                    continue;
                }
                let mut jobs = Vec::new();
                let mut cancels = Vec::new();
                // Rows of finished jobs are removed after some time.
                for row in page.items.iter().filter(|row| row.value.is_some()) {
                    match JobsKey::parse(&row.key) {
                        JobsKey::Cancel(id) => cancels.push(id),
                        JobsKey::Job(_) => {
                            // The progress row was inserted in the same transaction, so it has the same version.
                            if let Some(job) = decode::<Job>(row) {
                                let progress = Progress {
                                    route: job.route.clone(),
                                    organisation: job.organisation.clone(),
                                    ..Progress::default()
                                };
                                jobs.push(StoredJob {
                                    job,
                                    progress,
                                    inserted_version: row.version,
                                    progress_version: row.version,
                                });
                            }
                        }
                    }
                }
                driver.do_send(Input::Jobs(jobs));
                driver.do_send(Input::Cancels(cancels));
                if !page.has_more {
                    driver.do_send(Input::JobsConfirmed(requested_ms));
                }
                sleep(BATCH_INTERVAL).await;
            }
            Err(FeedError::HistoryLost) => {
                spdlog::warn!("history_lost", kv: { table = JOBS, after });
                if let Some(version) = load_jobs(&shared, &driver).await {
                    after = version;
                }
            }
            Err(FeedError::Store(_)) => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Passes changes of the list of workers to the driver.
async fn follow_workers<S: Store, W: Workers>(shared: SharedRef<S, W>, driver: Addr<SchedulerDriver<S, W>>) {
    const FEED_WAIT_MS: u64 = 1_000;
    // Every worker updates its entry regularly; changes within this time are fetched with one call.
    const BATCH_INTERVAL: Duration = Duration::from_millis(250);
    let mut after = None;
    while driver.connected() {
        let requested_ms = boot_ms();
        let result = match after {
            None => {
                let list = async { shared.store.worker_list().await.map_err(FeedError::Store) };
                shared.feed(0, list).await
            }
            Some(after) => {
                shared
                    .feed(FEED_WAIT_MS, shared.store.worker_changes(after, FEED_WAIT_MS))
                    .await
            }
        };
        match result {
            Ok(page) => {
                driver.do_send(if after.is_none() {
                    Input::WorkerList(page.items, requested_ms)
                } else {
                    Input::WorkerChanges(page.items, requested_ms, !page.has_more)
                });
                after = Some(page.version);
                sleep(BATCH_INTERVAL).await;
            }
            Err(FeedError::HistoryLost) => {
                spdlog::warn!("history_lost", kv: { table = "worker list" });
                after = None;
            }
            Err(FeedError::Store(_)) => sleep(RETRY_INTERVAL).await,
        }
    }
}
