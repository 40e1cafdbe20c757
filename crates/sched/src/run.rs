use model::{Answer, LeaseId, Placement, TaskReport, TaskState};
use smallvec::SmallVec;

/// Attempt in progress: its leases and the state of each part.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Number of the attempt.
    pub(crate) number: u32,
    pub(crate) seats: SmallVec<[Seat; 4]>,
    /// One entry a part, in order of the part index.
    pub(crate) parts: Vec<Part>,
    /// Why the attempt is being ended; `None` while it should run.
    pub(crate) cause: Option<Cause>,
    /// When all leases were requested.
    pub(crate) reserved_ms: u64,
    /// When all parts ran.
    pub(crate) started_ms: u64,
    /// Until when checkpoints may be taken before the leases are revoked.
    pub(crate) grace_until_ms: Option<u64>,
    /// Whether the absence of a task from a fenced worker's inventory proves that it never started.
    pub(crate) is_absence_proof: bool,
}

/// Slot lease of an attempt at one worker, shared by its parts there.
#[derive(Debug, Clone)]
pub(crate) struct Seat {
    /// Index of the worker.
    pub(crate) worker: usize,
    pub(crate) lease: LeaseId,
    pub(crate) parts: SmallVec<[u16; 4]>,
    pub(crate) stage: Stage,
    /// When the lease has certainly expired, unless it is renewed again.
    pub(crate) live_until_ms: u64,
    /// Whether the worker confirmed the revocation, so that only tasks that run are left.
    pub(crate) is_revoked: bool,
    /// Number of the last command that could change the seat.
    pub(crate) op: u64,
}

/// What is known of a slot lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Not requested yet.
    Planned,
    /// Requested.
    Asked,
    /// Live.
    Granted,
    /// Of a former holder; not settled yet.
    Inherited,
    /// Being revoked.
    Revoking,
    /// Expired at a silent worker.
    Lapsed,
    /// No task can start under it and none runs.
    Released,
}

/// What is known of a part.
#[derive(Debug, Clone)]
pub(crate) enum Part {
    /// No start was sent.
    Idle,
    /// A start was sent, perhaps by a former holder.
    Sent,
    /// Reported as running.
    Running,
    /// Reported as ended.
    Ended(Box<TaskReport>),
    /// Proven never to have started.
    Never,
    /// Started, and the worker does not know it any more.
    Vanished,
    /// Its lease expired at a silent worker.
    Silent {
        /// Whether it was reported as running before.
        ran: bool,
    },
}

/// Why an attempt is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// All parts finished.
    Complete,
    /// A part failed, stopped or was lost.
    PartEnded,
    /// A worker did not grant a lease in time; the index names it if it refused.
    Refused(Option<usize>),
    /// The caller cancelled.
    Cancelled,
    /// The policy preempted.
    Preempted,
    /// Nothing may start any more here.
    Withdrawn,
    /// Another holder owns the row.
    Foreign,
}

impl Part {
    /// Returns whether nothing more can be learnt by waiting for a worker that answers.
    pub(crate) const fn is_settled(&self) -> bool {
        matches!(self, Self::Ended(_) | Self::Never | Self::Vanished)
    }

    /// Returns the report if the part ran to its end.
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
    /// Creates a run whose seats are all in `stage` and whose parts are all made by `part`.
    ///
    /// `worker_of` returns the index of a worker.
    pub(crate) fn new(
        number: u32,
        placement: &Placement,
        stage: Stage,
        part: impl Fn() -> Part,
        mut worker_of: impl FnMut(&model::WorkerId) -> usize,
    ) -> Self {
        let mut seats: SmallVec<[Seat; 4]> = SmallVec::new();
        for (index, place) in placement.parts.iter().enumerate() {
            let worker = worker_of(&place.worker);
            let known = seats
                .iter_mut()
                .find(|seat| seat.worker == worker && seat.lease == place.lease);
            match known {
                Some(seat) => seat.parts.push(index as u16),
                None => seats.push(Seat {
                    worker,
                    lease: place.lease,
                    parts: SmallVec::from_iter([index as u16]),
                    stage,
                    live_until_ms: 0,
                    is_revoked: false,
                    op: 0,
                }),
            }
        }
        Self {
            number,
            seats,
            parts: placement.parts.iter().map(|_| part()).collect(),
            cause: None,
            reserved_ms: 0,
            started_ms: 0,
            grace_until_ms: None,
            is_absence_proof: true,
        }
    }

    /// Returns the seat with this lease.
    pub(crate) fn seat_mut(&mut self, lease: LeaseId) -> Option<&mut Seat> {
        self.seats.iter_mut().find(|seat| seat.lease == lease)
    }

    /// Returns the seat of a part.
    pub(crate) fn seat_of(&self, part: u16) -> Option<&Seat> {
        self.seats.iter().find(|seat| seat.parts.contains(&part))
    }

    /// Returns whether all seats are in one of these stages.
    pub(crate) fn all_seats(&self, stages: &[Stage]) -> bool {
        self.seats.iter().all(|seat| stages.contains(&seat.stage))
    }

    /// Returns whether all parts ran to their end.
    pub(crate) fn is_finished(&self) -> bool {
        self.parts.iter().all(|part| part.finished().is_some())
    }

    /// Returns whether all parts run or ran to their end.
    pub(crate) fn is_running(&self) -> bool {
        self.parts
            .iter()
            .all(|part| matches!(part, Part::Running) || part.finished().is_some())
    }

    /// Returns whether a part ended in another way than by running to its end.
    pub(crate) fn has_ended_part(&self) -> bool {
        self.parts.iter().any(|part| match part {
            Part::Ended(report) => report.state != TaskState::Finished,
            Part::Never | Part::Vanished | Part::Silent { .. } => true,
            Part::Idle | Part::Sent | Part::Running => false,
        })
    }

    /// Returns whether some parts ended with a checkpoint while all others run.
    pub(crate) fn has_only_checkpoints(&self) -> bool {
        let is_checkpoint = |part: &Part| part.ended(TaskState::Checkpointed).is_some();
        let all = self
            .parts
            .iter()
            .all(|part| is_checkpoint(part) || matches!(part, Part::Running | Part::Sent));
        all && self.parts.iter().any(is_checkpoint) && !self.parts.iter().all(is_checkpoint)
    }

    /// Returns whether any part started or may have started.
    pub(crate) fn has_started(&self) -> bool {
        self.parts.iter().any(|part| !matches!(part, Part::Idle | Part::Never))
    }

    /// Records a report of a task; returns whether it belongs to this run.
    pub(crate) fn apply(&mut self, report: &TaskReport) -> bool {
        let index = report.task.part;
        let is_own =
            report.task.attempt == self.number && self.seat_of(index).is_some_and(|seat| seat.lease == report.lease);
        if !is_own {
            return false;
        }
        let part = &mut self.parts[usize::from(index)];
        match part {
            Part::Ended(_) | Part::Never => {}
            _ if report.state.is_ended() => *part = Part::Ended(Box::new(report.clone())),
            Part::Idle | Part::Sent | Part::Silent { .. } => *part = Part::Running,
            Part::Running | Part::Vanished => {}
        }
        true
    }

    /// Settles the parts of a seat that a conclusive reply of the worker did not mention, except those in `present`.
    pub(crate) fn settle_absent(&mut self, lease: LeaseId, present: &[u16]) {
        let is_proof = self.is_absence_proof;
        let Some(seat) = self.seats.iter().find(|seat| seat.lease == lease) else {
            return;
        };
        for index in seat.parts.iter().filter(|index| !present.contains(index)) {
            let part = &mut self.parts[usize::from(*index)];
            match part {
                Part::Idle => *part = Part::Never,
                Part::Sent | Part::Silent { ran: false } if is_proof => *part = Part::Never,
                Part::Sent | Part::Running | Part::Silent { .. } => *part = Part::Vanished,
                Part::Ended(_) | Part::Never | Part::Vanished => {}
            }
        }
    }

    /// Returns whether all parts of the seat are settled.
    pub(crate) fn is_seat_settled(&self, lease: LeaseId) -> bool {
        let seat = self.seats.iter().find(|seat| seat.lease == lease);
        seat.is_none_or(|seat| {
            seat.parts
                .iter()
                .all(|index| self.parts[usize::from(*index)].is_settled())
        })
    }

    /// Returns the accelerator time of all parts in milliseconds, as reported.
    pub(crate) fn accelerator_ms(&self) -> u64 {
        let of = |part: &Part| {
            if let Part::Ended(report) = part {
                report.accelerator_ms
            } else {
                0
            }
        };
        self.parts.iter().map(of).sum()
    }

    /// Returns the answer of the whole job, or `None` unless every part has a whole answer to `request`.
    ///
    /// The answer of a gang is the JSON array of the bodies of its parts in order.
    pub(crate) fn answer(&self, request: &model::RequestId) -> Option<Answer> {
        let whole = |part: &Part| {
            let answer = part.finished()?.answer.as_ref()?;
            answer.verify(request).is_ok().then(|| answer.clone())
        };
        let mut answers: Vec<Answer> = self.parts.iter().map(whole).collect::<Option<_>>()?;
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
