use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use actix_rt::time::sleep;
use compact_str::CompactString;
use domain::{Job, Progress, StoredJob};

use super::{Holder, Input};
use crate::ports::{FeedError, OwnRow, Place, Store, Workers};
use crate::rows::{JOBS, JobsKey, PENDING, PROGRESS, START_BOUND, USED_WORKERS, get};
use crate::shared::SharedRef;

/// Pause before a read of the store is repeated.
const RETRY: Duration = Duration::from_millis(60);

/// Repeats a read of all places until it succeeds or the holder is gone.
async fn until_read<S: Store, W: Workers>(
    shared: &SharedRef<S, W>,
    holder: &Addr<Holder<S, W>>,
    places: &[Place],
) -> Option<(Vec<OwnRow>, u64)> {
    while holder.connected() {
        let reads = places.iter().map(|place| shared.read_range(place, "", ""));
        match futures_util::future::try_join_all(reads).await {
            Ok(parts) => {
                let version = parts.iter().map(|(_, version)| *version).min().unwrap_or(0);
                return Some((parts.into_iter().flat_map(|(rows, _)| rows).collect(), version));
            }
            Err(_) => sleep(RETRY).await,
        }
    }
    None
}

/// Reads the rows that a new holder needs, then follows their changes.
pub(super) async fn load<S: Store, W: Workers>(shared: SharedRef<S, W>, holder: Addr<Holder<S, W>>) {
    let places = [USED_WORKERS, START_BOUND, PENDING].map(|table| shared.parts.of_holder(table));
    let Some((rows, _)) = until_read(&shared, &holder, &places).await else {
        return;
    };
    let of_table = |table| rows.iter().filter(move |row| row.table == table);
    let used = of_table(USED_WORKERS)
        .filter_map(|row| Some((row.key.clone(), get::<CompactString>(row)?)))
        .collect();
    holder.do_send(Input::UsedWorkers(used));
    let bound = of_table(START_BOUND).find_map(|row| Some((get(row)?, row.version)));
    holder.do_send(Input::FormerStartBound(bound));
    let pending = of_table(PENDING)
        .filter_map(|row| Some((row.key.clone(), get::<u64>(row)?)))
        .collect();
    holder.do_send(Input::Pending(pending));
    actix_rt::spawn(follow_workers(Rc::clone(&shared), holder.clone()));
    let Some(after) = load_jobs(&shared, &holder).await else {
        return;
    };
    holder.do_send(Input::Loaded);
    follow_jobs(shared, holder, after).await;
}

/// Reads jobs and progress; returns the version after which changes have to be read.
async fn load_jobs<S: Store, W: Workers>(shared: &SharedRef<S, W>, holder: &Addr<Holder<S, W>>) -> Option<u64> {
    let (rows, after) = until_read(shared, holder, &shared.parts.of_jobs(JOBS)).await?;
    let (progress, _) = until_read(shared, holder, &shared.parts.of_jobs(PROGRESS)).await?;
    let progress: HashMap<_, _> = progress.iter().map(|row| (row.key.clone(), row)).collect();
    let mut jobs = Vec::new();
    let mut cancels = Vec::new();
    for row in &rows {
        match JobsKey::parse(&row.key) {
            JobsKey::Cancel(id) => cancels.push(id),
            JobsKey::Job(id) => {
                let Some(row_of_progress) = progress.get(&id) else {
                    continue;
                };
                let (Some(job), Some(state)) = (get::<Job>(row), get::<Progress>(row_of_progress)) else {
                    continue;
                };
                jobs.push(StoredJob {
                    job,
                    progress: state,
                    inserted_version: row.version,
                    progress_version: row_of_progress.version,
                });
            }
        }
    }
    spdlog::info!("rows_loaded", kv: { jobs = jobs.len(), cancels = cancels.len(), version = after });
    holder.do_send(Input::Jobs(jobs));
    holder.do_send(Input::Cancels(cancels));
    Some(after)
}

/// Passes new jobs and cancellations to the holder.
async fn follow_jobs<S: Store, W: Workers>(shared: SharedRef<S, W>, holder: Addr<Holder<S, W>>, mut after: u64) {
    const WAIT_MS: u64 = 2_000;
    // Jobs that arrive within this time share one call.
    const GATHER: Duration = Duration::from_millis(15);
    while holder.connected() {
        let changes = shared.store.changes(JOBS, after, WAIT_MS);
        match shared.feed(WAIT_MS, changes).await {
            Ok(page) => {
                after = page.version;
                if page.items.is_empty() {
                    continue;
                }
                let mut jobs = Vec::new();
                let mut cancels = Vec::new();
                // Rows of final jobs go after a time.
                for row in page.items.iter().filter(|row| row.value.is_some()) {
                    match JobsKey::parse(&row.key) {
                        JobsKey::Cancel(id) => cancels.push(id),
                        JobsKey::Job(_) => {
                            // The progress row was inserted in the same transaction, so it has the same version.
                            if let Some(job) = get::<Job>(row) {
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
                holder.do_send(Input::Jobs(jobs));
                holder.do_send(Input::Cancels(cancels));
                sleep(GATHER).await;
            }
            Err(FeedError::HistoryLost) => {
                spdlog::warn!("history_lost", kv: { table = JOBS, after });
                if let Some(version) = load_jobs(&shared, &holder).await {
                    after = version;
                }
            }
            Err(FeedError::Store(_)) => sleep(RETRY).await,
        }
    }
}

/// Passes changes of the list of workers to the holder.
async fn follow_workers<S: Store, W: Workers>(shared: SharedRef<S, W>, holder: Addr<Holder<S, W>>) {
    const WAIT_MS: u64 = 1_000;
    // Every worker writes its entry regularly; changes within this time share one call.
    const GATHER: Duration = Duration::from_millis(250);
    let mut after = None;
    while holder.connected() {
        let result = match after {
            None => {
                let list = async { shared.store.worker_list().await.map_err(FeedError::Store) };
                shared.feed(0, list).await
            }
            Some(after) => shared.feed(WAIT_MS, shared.store.worker_changes(after, WAIT_MS)).await,
        };
        match result {
            Ok(page) => {
                holder.do_send(if after.is_none() {
                    Input::WorkerList(page.items)
                } else {
                    Input::WorkerChanges(page.items)
                });
                after = Some(page.version);
                sleep(GATHER).await;
            }
            Err(FeedError::HistoryLost) => {
                spdlog::warn!("history_lost", kv: { table = "worker list" });
                after = None;
            }
            Err(FeedError::Store(_)) => sleep(RETRY).await,
        }
    }
}
