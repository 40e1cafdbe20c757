use model::{Class, JobSpec, Resources, Shape};
use smallvec::SmallVec;

use crate::WorkerKey;
use crate::amount::Amount;
use crate::cluster::PlacementRequest;
use crate::share::Charge;

/// State of a job within the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    Queued,
    /// Its workers are allocated and it waits for preempted work to stop there.
    AwaitingPreemption,
    /// A start was decided.
    Starting,
    Running,
    /// A preemption was decided.
    Stopping,
    /// A decision that gives the job up is about to be returned.
    GivenUp,
}

/// Whether a placed job may be preempted for the capacity that it holds outside of shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementKind {
    /// May be preempted for others, if it is preemptible at all.
    Evictable,
    /// Placed outside of all guarantees, so that it need not be preempted for an owner.
    Protected,
    /// Runs on capacity that is reserved for another job and is preempted when that job can start.
    Backfill,
}

/// Part of a job that holds resources on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Part {
    pub worker: WorkerKey,
    /// Amounts charged to shares of its organisation there. On each worker preemptible work is charged in full or not
    /// at all; non-preemptible work that ran before a share was planned there is charged as far as the share suffices.
    pub charges: SmallVec<[Charge; 1]>,
}

/// State of a job in the policy; the payload and the request id stay with the caller.
#[derive(Debug)]
pub(crate) struct Job {
    pub organisation: u16,
    pub class: Class,
    pub idempotent: bool,
    pub checkpointable: bool,
    pub priority: u8,
    pub need: Resources,
    pub shape: Shape,
    pub declared_ms: u64,
    pub preserved_ms: u64,
    pub submitted_ms: u64,
    pub deadline_at_ms: Option<u64>,
    pub started_ms: u64,
    pub sequence: u64,
    /// Number of times that it was preempted.
    pub preemptions: u8,
    pub placement_kind: PlacementKind,
    pub state: State,
    pub parts: SmallVec<[Part; 2]>,
    pub failed_on: SmallVec<[WorkerKey; 2]>,
    /// Queue that it was last put into.
    pub queue: QueueId,
    /// Position in the queue while queued.
    pub rank: Rank,
}

/// Order within one queue: priority (highest first), then a virtual deadline, then order of arrival.
pub(crate) type Rank = (u8, u64, u64);

/// Jobs of one organisation that are interchangeable for placement share a queue; only its head is tried.
///
/// Processors and memory are rounded up to powers of two, so that the number of queues stays small.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueId {
    pub class: Class,
    pub accelerators: u32,
    pub parts: u16,
    pub adjacency: model::Adjacency,
    /// Whether its jobs may borrow as soon as they are submitted.
    pub borrows: bool,
    pub cpu_bits: u8,
    pub memory_bits: u8,
}

impl Part {
    pub fn charged(&self) -> Amount {
        (self.charges.iter()).fold(Amount::default(), |sum, charge| sum + charge.amount)
    }
}

impl Job {
    /// Failures on this many distinct workers are attributed to the job.
    pub const MAX_FAILED_WORKERS: usize = 3;

    pub fn new(spec: &JobSpec, organisation: u16, boost: u8, now_ms: u64, sequence: u64) -> Self {
        Self {
            organisation,
            class: spec.class,
            idempotent: spec.idempotent,
            checkpointable: spec.checkpointable,
            priority: spec.priority.saturating_add(boost),
            need: spec.need_per_part(),
            shape: spec.shape,
            declared_ms: spec.declared_run_ms,
            preserved_ms: 0,
            submitted_ms: now_ms,
            deadline_at_ms: spec.deadline_ms.map(|deadline| now_ms.saturating_add(deadline)),
            started_ms: now_ms,
            sequence,
            preemptions: 0,
            placement_kind: PlacementKind::Evictable,
            state: State::Queued,
            parts: SmallVec::new(),
            failed_on: SmallVec::new(),
            queue: QueueId::default(),
            rank: (0, 0, 0),
        }
    }

    pub const fn is_preemptible(&self) -> bool {
        self.idempotent || self.checkpointable
    }

    /// Returns whether the job may be preempted for others where it is placed.
    pub const fn is_evictable(&self) -> bool {
        self.is_preemptible() && !matches!(self.placement_kind, PlacementKind::Protected)
    }

    pub fn is_backfill(&self) -> bool {
        self.placement_kind == PlacementKind::Backfill
    }

    pub fn need(&self) -> Amount {
        self.need.into()
    }

    pub fn total_need(&self) -> Amount {
        self.need().times(self.shape.parts)
    }

    pub fn placement_request(&self) -> PlacementRequest {
        PlacementRequest {
            need: self.need(),
            shape: self.shape,
        }
    }

    pub fn queue_id(&self, borrows: bool) -> QueueId {
        let bits = |amount: u32| (u32::BITS - amount.leading_zeros()) as u8;
        QueueId {
            class: self.class,
            accelerators: self.shape.accelerators(),
            parts: self.shape.parts,
            adjacency: self.shape.adjacency,
            borrows,
            cpu_bits: bits(self.need.cpu_milli),
            memory_bits: bits(self.need.memory_mib),
        }
    }

    pub const fn holds_resources(&self) -> bool {
        matches!(
            self.state,
            State::AwaitingPreemption | State::Starting | State::Running | State::Stopping
        )
    }
}
