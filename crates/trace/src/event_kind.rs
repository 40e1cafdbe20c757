use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! event_kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)+) => {
        /// Kind of a timeline event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum EventKind {
            $($(#[$doc])* $name,)+
            /// Kind introduced by a newer version.
            #[serde(other)]
            Other,
        }

        impl EventKind {
            /// All kinds in order.
            pub const ALL: &[Self] = &[$(Self::$name,)+ Self::Other];

            /// Returns the name in logs and on the wire.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)+
                    Self::Other => "other",
                }
            }
        }
    };
}

event_kinds! {
    /// An instance started.
    InstanceStarted = "instance_started",
    /// A graceful shutdown began.
    InstanceStopping = "instance_stopping",
    /// A graceful shutdown ended with no request open.
    InstanceStopped = "instance_stopped",
    /// A request was accepted.
    RequestAccepted = "request_accepted",
    /// A request was refused; nothing ran.
    RequestRefused = "request_refused",
    /// A caller got its answer.
    RequestAnswered = "request_answered",
    /// The outcome of a request is not known yet.
    RequestIndeterminate = "request_indeterminate",
    /// An attempt record is durable.
    AttemptRecorded = "attempt_recorded",
    /// A slot lease was granted by a worker.
    LeaseGranted = "lease_granted",
    /// A slot lease expired or was revoked.
    LeaseEnded = "lease_ended",
    /// All parts of a job run.
    JobStarted = "job_started",
    /// A job ended.
    JobEnded = "job_ended",
    /// A job was stopped or checkpointed in favour of another.
    JobPreempted = "job_preempted",
    /// A job was queued again.
    JobRequeued = "job_requeued",
    /// The caller cancelled a job.
    JobCancelled = "job_cancelled",
    /// The instance acquired a scheduling lease.
    SchedulerElected = "scheduler_elected",
    /// The instance lost or released a scheduling lease.
    SchedulerDeposed = "scheduler_deposed",
    /// Recovery is complete and work may start.
    SchedulerRecovered = "scheduler_recovered",
    /// A grant was given to an instance.
    GrantGiven = "grant_given",
    /// A grant ended.
    GrantEnded = "grant_ended",
    /// A worker became responsive.
    WorkerUp = "worker_up",
    /// A worker became unresponsive.
    WorkerDown = "worker_down",
    /// A worker is leaving.
    WorkerLeaving = "worker_leaving",
    /// A worker was quarantined.
    WorkerQuarantined = "worker_quarantined",
    /// A worker left quarantine.
    WorkerReleased = "worker_released",
    /// A peer became responsive.
    PeerUp = "peer_up",
    /// A peer became unresponsive.
    PeerDown = "peer_down",
    /// A configuration was accepted.
    ConfigAccepted = "config_accepted",
    /// A configuration took effect at this instance.
    ConfigInForce = "config_in_force",
    /// A data centre was taken out of service, as far as this instance knows.
    DataCentreOut = "data_centre_out",
    /// A data centre was returned to service, as far as this instance knows.
    DataCentreIn = "data_centre_in",
    /// A guaranteed shape cannot be packed.
    GuaranteeLost = "guarantee_lost",
    /// The store stopped responding.
    StoreDown = "store_down",
    /// The store is responding again.
    StoreUp = "store_up",
    /// A charge was written.
    ChargeWritten = "charge_written",
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
