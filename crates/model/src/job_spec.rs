use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::{Class, JobId, OrganisationId, RequestId, Resources, Shape};

/// Job specification as submitted by a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Organisation that submits the job and is charged for it.
    pub organisation: OrganisationId,
    /// Request id chosen by the caller; a repeated id with the same body is the same job.
    pub request_id: RequestId,
    /// Service class.
    #[serde(default)]
    pub class: Class,
    /// Whether running the job twice has the same effect as running it once. A non-idempotent job runs at most once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a running part can be checkpointed and resumed elsewhere.
    #[serde(default)]
    pub checkpointable: bool,
    /// Parts, accelerators and adjacency.
    #[serde(default)]
    pub shape: Shape,
    /// Processor time that each part needs, in thousandths of a core.
    #[serde(default)]
    pub cpu_milli_per_part: u32,
    /// Memory that each part needs, in MiB.
    #[serde(default)]
    pub memory_mib_per_part: u32,
    /// Run time expected by the caller, in milliseconds.
    #[serde(default)]
    pub declared_run_ms: u64,
    /// Time from acceptance within which the answer is useful, in milliseconds; `None` means no deadline.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Priority within the organisation; higher values are scheduled first.
    #[serde(default)]
    pub priority: u8,
    /// Input for the task, passed to the worker unchanged.
    #[serde(default)]
    pub payload: Value,
}

impl JobSpec {
    /// Creates a deferred, non-idempotent job with one part and one accelerator.
    pub fn new(organisation: OrganisationId, request_id: RequestId) -> Self {
        Self {
            organisation,
            request_id,
            class: Class::Deferred,
            idempotent: false,
            checkpointable: false,
            shape: Shape::default(),
            cpu_milli_per_part: 0,
            memory_mib_per_part: 0,
            declared_run_ms: 0,
            deadline_ms: None,
            priority: 0,
            payload: Value::Null,
        }
    }

    /// Sets the service class.
    #[must_use]
    pub const fn class(mut self, class: Class) -> Self {
        self.class = class;
        self
    }

    /// Sets whether the job is idempotent.
    #[must_use]
    pub const fn idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets whether the job can be checkpointed.
    #[must_use]
    pub const fn checkpointable(mut self, checkpointable: bool) -> Self {
        self.checkpointable = checkpointable;
        self
    }

    /// Sets the shape.
    #[must_use]
    pub const fn shape(mut self, shape: Shape) -> Self {
        self.shape = shape;
        self
    }

    /// Sets the processor time of each part in thousandths of a core.
    #[must_use]
    pub const fn cpu_milli_per_part(mut self, cpu_milli_per_part: u32) -> Self {
        self.cpu_milli_per_part = cpu_milli_per_part;
        self
    }

    /// Sets the memory of each part in MiB.
    #[must_use]
    pub const fn memory_mib_per_part(mut self, memory_mib_per_part: u32) -> Self {
        self.memory_mib_per_part = memory_mib_per_part;
        self
    }

    /// Sets the declared run time in milliseconds.
    #[must_use]
    pub const fn declared_run_ms(mut self, declared_run_ms: u64) -> Self {
        self.declared_run_ms = declared_run_ms;
        self
    }

    /// Sets the deadline in milliseconds from acceptance.
    #[must_use]
    pub const fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }

    /// Sets the priority within the organisation.
    #[must_use]
    pub const fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the input for the task.
    #[must_use]
    pub fn payload(mut self, payload: Value) -> Self {
        self.payload = payload;
        self
    }

    /// Returns the identity of the job.
    pub fn id(&self) -> JobId {
        JobId::new(self.organisation.clone(), self.request_id.clone())
    }

    /// Returns an estimate of the memory that the payload takes.
    pub fn payload_bytes(&self) -> u64 {
        value_bytes(&self.payload)
    }

    /// Returns the resources that one part occupies on its worker.
    pub const fn need_per_part(&self) -> Resources {
        Resources::new(
            1,
            self.shape.accelerators_per_part,
            self.cpu_milli_per_part,
            self.memory_mib_per_part,
        )
    }

    /// Returns whether the job may use capacity guaranteed to another organisation, because it can be stopped safely.
    pub const fn is_preemptible(&self) -> bool {
        self.idempotent || self.checkpointable
    }

    /// Returns the SHA-256 of the canonical JSON form, as lower-case hex. Equal bodies have equal digests.
    ///
    /// # Panics
    ///
    /// Never panics in practice: the type always serialises to JSON.
    pub fn digest(&self) -> String {
        let canonical = serde_json::to_value(self)
            .expect("a job spec serialises to JSON")
            .to_string();
        hex(&Sha256::digest(canonical.as_bytes()))
    }
}

/// Returns an estimate of the memory of a value beyond the one of its place in its parent.
fn value_bytes(value: &Value) -> u64 {
    /// Value in a list, and entry of an object with its share of a node.
    const ELEMENT_BYTES: u64 = 32;
    const ENTRY_BYTES: u64 = 110;
    /// Node of an object, which is allocated whole.
    const NODE_BYTES: u64 = 640;
    match value {
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
        Value::String(text) => text.len() as u64,
        Value::Array(values) => values.iter().map(|value| ELEMENT_BYTES + value_bytes(value)).sum(),
        Value::Object(entries) => {
            let entries = entries.iter();
            let sizes = entries.map(|(key, value)| ENTRY_BYTES + key.len() as u64 + value_bytes(value));
            NODE_BYTES + sizes.sum::<u64>()
        }
    }
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}
