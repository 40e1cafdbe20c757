use model::{JobSpec, Refusal};
use smallvec::SmallVec;

use crate::job::{Job, Part, State};
use crate::{GuaranteedShare, JobKey, WorkerKey};

impl GuaranteedShare {
    /// Default retry hint, and the lower bound of the estimated one.
    const RETRY_AFTER_MS: u64 = 1_000;

    pub(crate) fn admit(&mut self, now_ms: u64, spec: &JobSpec) -> Result<JobKey, Refusal> {
        let unknown = || Refusal::UnknownOrganisation {
            organisation: spec.organisation.clone(),
        };
        if !self.configured {
            return Err(Refusal::NoConfiguration {
                retry_after_ms: Self::RETRY_AFTER_MS,
            });
        }
        let organisation = *self.org_ids.get(&spec.organisation).ok_or_else(unknown)?;
        let org = &self.orgs[usize::from(organisation)];
        if !org.listed {
            return Err(unknown());
        }
        spec.shape.validate()?;
        let beyond_quota = org.quota.is_some_and(|quota| spec.shape.accelerators() > quota);
        if beyond_quota || !self.cluster.ever_fits(spec.need_per_part(), spec.shape) {
            return Err(Refusal::NeverFits { shape: spec.shape });
        }
        if !self.cluster.dcs.iter().any(|dc| dc.in_service) {
            return Err(Refusal::NoDataCentre {
                retry_after_ms: Self::RETRY_AFTER_MS,
            });
        }
        let class = spec.class as usize;
        let wait_ms = org.wait_estimators[class].estimate_ms(org.queued[class]);
        if org.queued[class] >= org.queue_limit {
            return Err(Refusal::QueueFull {
                organisation: spec.organisation.clone(),
                limit: org.queue_limit,
                retry_after_ms: wait_ms.clamp(Self::RETRY_AFTER_MS, 60_000),
            });
        }
        if let Some(deadline_ms) = spec.deadline_ms {
            if deadline_ms == 0 {
                return Err(Refusal::DeadlinePassed);
            }
            if wait_ms > deadline_ms {
                return Err(Refusal::DeadlineTooShort {
                    wait_ms,
                    retry_after_ms: wait_ms - deadline_ms,
                });
            }
        }
        self.sequence += 1;
        let job = Job::new(spec, organisation, org.boost[class], now_ms, self.sequence);
        let key = self.jobs.insert(job);
        self.enqueue(key);
        Ok(key)
    }

    pub(crate) fn adopt_running(&mut self, now_ms: u64, spec: &JobSpec, workers: &[WorkerKey]) -> JobKey {
        self.now_ms = now_ms;
        let organisation = self.org_index(&spec.organisation);
        self.sequence += 1;
        let mut job = Job::new(spec, organisation, 0, now_ms, self.sequence);
        job.state = State::Running;
        let parts = workers.iter().map(|&worker| Part {
            worker,
            charges: SmallVec::new(),
        });
        job.parts = parts.collect();
        let key = self.jobs.insert(job);
        self.debit_parts(key);
        for &worker in workers {
            self.recompute_charges(worker);
        }
        self.dirty = true;
        key
    }
}
