use model::{Answer, LeaseId, Placement, TaskReport, TaskState};
use smallvec::SmallVec;

/// Attempt in progress: its leases and the state of each part.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Number of the attempt.
    pub(crate) number: u32,
    pub(crate) attempt_leases: SmallVec<[AttemptLease; 4]>,
    /// One entry per part, in order of the part index.
    pub(crate) parts: Vec<PartState>,
    /// Why the attempt is being ended; `None` as long as it is to run.
    pub(crate) cause: Option<EndCause>,
    /// When all leases were requested.
    pub(crate) reserved_ms: u64,
    /// When all parts were running.
    pub(crate) started_ms: u64,
    /// End of the time for checkpoints, after which the leases are revoked.
    pub(crate) grace_until_ms: Option<u64>,
    /// Whether the absence of a task from a fenced worker's inventory proves that it never started.
    pub(crate) is_absence_proof: bool,
}

/// Slot lease of an attempt at one worker, shared by its parts there.
#[derive(Debug, Clone)]
pub(crate) struct AttemptLease {
    /// Index of the worker.
    pub(crate) worker: usize,
    pub(crate) lease: LeaseId,
    pub(crate) parts: SmallVec<[u16; 4]>,
    pub(crate) state: LeaseState,
    /// Time by which the lease has certainly expired unless it is renewed again.
    pub(crate) live_until_ms: u64,
    /// Whether the worker confirmed the revocation, so that only running tasks are left.
    pub(crate) is_revoked: bool,
    /// Number of the last command that could change the lease.
    pub(crate) op: u64,
}

/// Known state of a slot lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaseState {
    /// Not requested yet.
    Planned,
    /// Requested.
    Requested,
    /// Live.
    Granted,
    /// From a former lease holder; not settled yet.
    Inherited,
    /// Being revoked.
    Revoking,
    /// Expired at an unresponsive worker.
    Expired,
    /// No task can start or runs under it.
    Released,
}

/// Known state of a part.
#[derive(Debug, Clone)]
pub(crate) enum PartState {
    /// No start was sent.
    Unsent,
    /// A start was sent, possibly by a former lease holder.
    Sent,
    /// Reported as running.
    Running,
    /// Reported as ended.
    Ended(Box<TaskReport>),
    /// Proven never to have started.
    NeverStarted,
    /// May have started, and the worker no longer reports it.
    Lost,
    /// Its lease expired at an unresponsive worker.
    Unresponsive {
        /// Whether it was reported as running before.
        ran: bool,
    },
}

/// Why an attempt is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndCause {
    /// All parts finished.
    Complete,
    /// A part failed, stopped or was lost.
    PartEnded,
    /// A worker refused a lease or did not grant it in time; holds the index of the worker if it is known.
    Refused(Option<usize>),
    /// The caller cancelled.
    Cancelled,
    /// The policy preempted.
    Preempted,
    /// No further start is allowed by this scheduler or at the worker.
    Withdrawn,
    /// The row belongs to another lease holder.
    Superseded,
}

impl PartState {
    /// Returns whether the part is settled: waiting for a worker that answers gives no further information.
    pub(crate) const fn is_settled(&self) -> bool {
        matches!(self, Self::Ended(_) | Self::NeverStarted | Self::Lost)
    }

    /// Returns the report if the part finished.
    pub(crate) fn finished(&self) -> Option<&TaskReport> {
        self.ended(TaskState::Finished)
    }

    /// Returns the report if the part ended in this state.
    pub(crate) fn ended(&self, state: TaskState) -> Option<&TaskReport> {
        match self {
            Self::Ended(report) if report.state == state => Some(report),
            _ => None,
        }
    }
}

impl Run {
    /// Creates a run whose leases are all in `state` and whose parts are all created by `part`.
    ///
    /// `worker_of` returns the index of a worker.
    pub(crate) fn new(
        number: u32,
        placement: &Placement,
        state: LeaseState,
        part: impl Fn() -> PartState,
        mut worker_of: impl FnMut(&model::WorkerId) -> usize,
    ) -> Self {
        let mut attempt_leases: SmallVec<[AttemptLease; 4]> = SmallVec::new();
        for (index, place) in placement.parts.iter().enumerate() {
            let worker = worker_of(&place.worker);
            let known = attempt_leases
                .iter_mut()
                .find(|attempt_lease| attempt_lease.worker == worker && attempt_lease.lease == place.lease);
            match known {
                Some(attempt_lease) => attempt_lease.parts.push(index as u16),
                None => attempt_leases.push(AttemptLease {
                    worker,
                    lease: place.lease,
                    parts: SmallVec::from_iter([index as u16]),
                    state,
                    live_until_ms: 0,
                    is_revoked: false,
                    op: 0,
                }),
            }
        }
        Self {
            number,
            attempt_leases,
            parts: placement.parts.iter().map(|_| part()).collect(),
            cause: None,
            reserved_ms: 0,
            started_ms: 0,
            grace_until_ms: None,
            is_absence_proof: true,
        }
    }

    /// Returns the attempt lease with this id.
    pub(crate) fn attempt_lease_mut(&mut self, lease: LeaseId) -> Option<&mut AttemptLease> {
        self.attempt_leases
            .iter_mut()
            .find(|attempt_lease| attempt_lease.lease == lease)
    }

    /// Returns the attempt lease of a part.
    pub(crate) fn attempt_lease_of(&self, part: u16) -> Option<&AttemptLease> {
        self.attempt_leases
            .iter()
            .find(|attempt_lease| attempt_lease.parts.contains(&part))
    }

    /// Returns whether all leases are in one of these states.
    pub(crate) fn all_leases_in(&self, states: &[LeaseState]) -> bool {
        self.attempt_leases
            .iter()
            .all(|attempt_lease| states.contains(&attempt_lease.state))
    }

    /// Returns whether all parts finished.
    pub(crate) fn is_finished(&self) -> bool {
        self.parts.iter().all(|part| part.finished().is_some())
    }

    /// Returns whether each part is running or finished.
    pub(crate) fn is_running(&self) -> bool {
        self.parts
            .iter()
            .all(|part| matches!(part, PartState::Running) || part.finished().is_some())
    }

    /// Returns whether a part ended without finishing.
    pub(crate) fn has_ended_part(&self) -> bool {
        self.parts.iter().any(|part| match part {
            PartState::Ended(report) => report.state != TaskState::Finished,
            PartState::NeverStarted | PartState::Lost | PartState::Unresponsive { .. } => true,
            PartState::Unsent | PartState::Sent | PartState::Running => false,
        })
    }

    /// Returns whether some, but not all, parts ended with a checkpoint while all others run.
    pub(crate) fn has_only_checkpoints(&self) -> bool {
        let is_checkpoint = |part: &PartState| part.ended(TaskState::Checkpointed).is_some();
        let all = self
            .parts
            .iter()
            .all(|part| is_checkpoint(part) || matches!(part, PartState::Running | PartState::Sent));
        all && self.parts.iter().any(is_checkpoint) && !self.parts.iter().all(is_checkpoint)
    }

    /// Returns whether any part started or may have started.
    pub(crate) fn has_started(&self) -> bool {
        self.parts
            .iter()
            .any(|part| !matches!(part, PartState::Unsent | PartState::NeverStarted))
    }

    /// Applies a task report; returns whether it belongs to this run.
    pub(crate) fn apply(&mut self, report: &TaskReport) -> bool {
        let index = report.task.part;
        let is_own = report.task.attempt == self.number
            && self
                .attempt_lease_of(index)
                .is_some_and(|attempt_lease| attempt_lease.lease == report.lease);
        if !is_own {
            return false;
        }
        let part = &mut self.parts[usize::from(index)];
        match part {
            PartState::Ended(_) | PartState::NeverStarted => {}
            _ if report.state.is_ended() => *part = PartState::Ended(Box::new(report.clone())),
            PartState::Unsent | PartState::Sent | PartState::Unresponsive { .. } => *part = PartState::Running,
            PartState::Running | PartState::Lost => {}
        }
        true
    }

    /// Settles the parts of a lease that are not in `present`, the parts listed in a conclusive reply of the worker.
    pub(crate) fn settle_absent(&mut self, lease: LeaseId, present: &[u16]) {
        let is_proof = self.is_absence_proof;
        let Some(attempt_lease) = self
            .attempt_leases
            .iter()
            .find(|attempt_lease| attempt_lease.lease == lease)
        else {
            return;
        };
        for index in attempt_lease.parts.iter().filter(|index| !present.contains(index)) {
            let part = &mut self.parts[usize::from(*index)];
            match part {
                PartState::Unsent => *part = PartState::NeverStarted,
                PartState::Sent | PartState::Unresponsive { ran: false } if is_proof => *part = PartState::NeverStarted,
                PartState::Sent | PartState::Running | PartState::Unresponsive { .. } => *part = PartState::Lost,
                PartState::Ended(_) | PartState::NeverStarted | PartState::Lost => {}
            }
        }
    }

    /// Returns whether all parts of the lease are settled.
    pub(crate) fn is_attempt_lease_settled(&self, lease: LeaseId) -> bool {
        let attempt_lease = self
            .attempt_leases
            .iter()
            .find(|attempt_lease| attempt_lease.lease == lease);
        attempt_lease.is_none_or(|attempt_lease| {
            attempt_lease
                .parts
                .iter()
                .all(|index| self.parts[usize::from(*index)].is_settled())
        })
    }

    /// Returns the accelerator time of all parts in milliseconds, as reported.
    pub(crate) fn accelerator_ms(&self) -> u64 {
        let reported_ms = |part: &PartState| {
            if let PartState::Ended(report) = part {
                report.accelerator_ms
            } else {
                0
            }
        };
        self.parts.iter().map(reported_ms).sum()
    }

    /// Returns the answer of the job, or `None` unless every part has an answer that is verified against `request`.
    ///
    /// The answer of a gang is the JSON array of the answer bodies of its parts, in order.
    pub(crate) fn answer(&self, request: &model::RequestId) -> Option<Answer> {
        let verified = |part: &PartState| {
            let answer = part.finished()?.answer.as_ref()?;
            answer.verify(request).is_ok().then(|| answer.clone())
        };
        let mut answers: Vec<Answer> = self.parts.iter().map(verified).collect::<Option<_>>()?;
        if answers.len() == 1 {
            return answers.pop();
        }
        let bodies: Vec<serde_json::Value> = answers.into_iter().map(|answer| answer.body.into()).collect();
        Some(Answer::new(
            request.clone(),
            serde_json::Value::Array(bodies).to_string(),
        ))
    }
}
