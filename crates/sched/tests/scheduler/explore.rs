//! Exhaustive exploration of the attempt and lease protocol: two schedulers, one worker, one lost message.
//!
//! Guards against an interleaving that starts a job twice or reports a started job as not run. Commands, replies, store
//! writes, scans and their results wait in an unordered pool; each step delivers one of them, loses one (once), elects
//! the other scheduler (once) or advances the clock. All choices are tried. Renewals are delivered at once.

use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::fmt::{self, Write as _};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use model::{Epoch, JobRow, JobSpec, JobState, Outcome, Resources, WorkerId};
use rstest::rstest;
use sched::{Action, Input, LostCommand, Scheduler, Settings, WorkerReply, WriteId, WriteOutcome};

use crate::common::{Command, Defect, FakeWorker, FirstFit, Table, config, job};

/// Time step; longer than the age limit of a reservation and shorter than a lease.
const TIME_STEP_MS: u64 = 1_600;

#[derive(Debug, Clone)]
enum Message {
    Command(usize, Command),
    Reply(usize, LostCommand, WorkerReply),
    Write(usize, WriteId, Box<JobRow>, u64),
    Scan(usize),
    Input(usize, Input),
}

/// Choices that led to a state; the same in every debug output, so that the digest of a state ignores them.
#[derive(Clone, Default)]
struct Path(Vec<usize>);

impl fmt::Debug for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("path")
    }
}

#[derive(Debug, Clone)]
struct State {
    path: Path,
    now_ms: u64,
    schedulers: [Scheduler<FirstFit>; 2],
    worker: FakeWorker,
    table: Table,
    messages: Vec<Message>,
    outcomes: Vec<Outcome>,
    remaining_losses: u32,
    remaining_elections: u32,
    remaining_time_steps: u32,
}

impl State {
    fn new(spec: JobSpec, defect: Option<Defect>, remaining_time_steps: u32) -> Self {
        let id: WorkerId = "w1".parse().unwrap();
        let capacity = Resources::new(8, 8, 0, 0);
        let scheduler = |name: &str| {
            let (instance, dc) = (name.parse().unwrap(), "dc1".parse().unwrap());
            let policy = FirstFit::new(std::slice::from_ref(&id), capacity);
            Scheduler::new(Settings::default(), policy, instance, dc, vec![id.clone()])
        };
        let mut state = Self {
            path: Path::default(),
            now_ms: 0,
            schedulers: [scheduler("a"), scheduler("b")],
            worker: FakeWorker::new(id.clone(), capacity, defect),
            table: Table::default(),
            messages: Vec::new(),
            outcomes: Vec::new(),
            remaining_losses: 0,
            remaining_elections: 0,
            remaining_time_steps,
        };
        for node in 0..2 {
            let config = Arc::new(config(1, true, false));
            state.handle(node, Input::Configured { config });
        }
        state.handle(0, Input::Elected { epoch: Epoch(1) });
        state.deliver_all();
        let row = Box::new(JobRow::new(spec, "dc1".parse().unwrap(), 1_000_000));
        state.table.commit(&row, 0, None, None);
        state.handle(0, Input::Submitted { row, version: 1 });
        state.remaining_losses = 1;
        state.remaining_elections = 1;
        state
    }

    fn handle(&mut self, node: usize, input: Input) {
        let mut actions = Vec::new();
        self.schedulers[node].handle(self.now_ms, 1_000_000 + self.now_ms, input, &mut actions);
        let epoch = self.schedulers[node].epoch().unwrap_or_default();
        for action in actions {
            let command = match action {
                Action::Fence { epoch, .. } => Command::Fence(epoch),
                Action::Lease { request, .. } => Command::Lease(request),
                Action::Start { request, .. } => Command::Start(*request),
                Action::Stop { task, .. } => Command::Stop(epoch, task),
                Action::Revoke { lease, .. } => Command::Revoke(epoch, lease),
                Action::Renew { request, .. } => {
                    let reply = self.worker.handle(self.now_ms, Command::Renew(request));
                    let worker = self.worker.id.clone();
                    self.messages
                        .push(Message::Input(node, Input::Worker { worker, reply }));
                    let last = self.messages.len() - 1;
                    self.deliver(last);
                    continue;
                }
                Action::Write {
                    write,
                    row,
                    expected_version,
                    ..
                } => {
                    self.messages.push(Message::Write(node, write, row, expected_version));
                    continue;
                }
                Action::ScanJobs => {
                    self.messages.push(Message::Scan(node));
                    continue;
                }
                Action::Outcome { outcome, .. } => {
                    self.outcomes.push(*outcome);
                    continue;
                }
                _ => continue,
            };
            self.messages.push(Message::Command(node, command));
        }
    }

    fn deliver(&mut self, index: usize) {
        match self.messages.remove(index) {
            Message::Command(node, command) => {
                let lost = command.lost();
                let reply = self.worker.handle(self.now_ms, command);
                self.messages.push(Message::Reply(node, lost, reply));
            }
            Message::Reply(node, _, reply) => {
                let worker = self.worker.id.clone();
                self.handle(node, Input::Worker { worker, reply });
            }
            Message::Write(node, write, row, version) => {
                let outcome = self.table.commit(&row, version, None, None);
                self.messages
                    .push(Message::Input(node, Input::Written { write, outcome }));
            }
            Message::Scan(node) => {
                let rows = self.table.scan(false);
                self.messages.push(Message::Input(node, Input::JobRows { rows }));
            }
            Message::Input(node, input) => self.handle(node, input),
        }
    }

    /// Loses a message; returns whether that is possible.
    fn lose(&mut self, index: usize) -> bool {
        let unknown = |write| Input::Written {
            write,
            outcome: WriteOutcome::Unknown,
        };
        let (node, input) = match self.messages[index].clone() {
            Message::Command(node, command) => (node, self.lost_reply(command.lost())),
            Message::Reply(node, lost, _) => (node, self.lost_reply(lost)),
            Message::Write(node, write, ..) => {
                self.messages.push(Message::Input(node, unknown(write)));
                let outcome = WriteOutcome::Unavailable;
                (node, Input::Written { write, outcome })
            }
            // The result of a write arrives late, from a read-back.
            Message::Input(node, Input::Written { write, outcome }) if outcome != WriteOutcome::Unknown => {
                self.messages.push(Message::Input(node, unknown(write)));
                (node, Input::Written { write, outcome })
            }
            Message::Scan(_) | Message::Input(..) => return false,
        };
        self.messages.remove(index);
        self.messages.push(Message::Input(node, input));
        self.remaining_losses -= 1;
        true
    }

    fn lost_reply(&self, command: LostCommand) -> Input {
        Input::Worker {
            worker: self.worker.id.clone(),
            reply: WorkerReply::Lost(command),
        }
    }

    fn advance(&mut self) {
        self.now_ms += TIME_STEP_MS;
        self.worker.advance(self.now_ms);
        for node in 0..2 {
            self.handle(node, Input::Tick);
        }
    }

    fn elect(&mut self) {
        self.remaining_elections -= 1;
        self.handle(1, Input::Elected { epoch: Epoch(2) });
    }

    /// Delivers all messages in order, without advancing the clock.
    fn deliver_all(&mut self) {
        for _ in 0..200 {
            if self.messages.is_empty() {
                return;
            }
            self.deliver(0);
        }
        panic!("messages are left after 200 deliveries");
    }

    /// Returns every state that one step leads to.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.messages.len() {
            let mut state = self.clone();
            state.deliver(index);
            next.push(state);
            let mut state = self.clone();
            if self.remaining_losses > 0 && state.lose(index) {
                next.push(state);
            }
        }
        if self.remaining_elections > 0 {
            let mut state = self.clone();
            state.elect();
            next.push(state);
        }
        if self.remaining_time_steps > 0 {
            let mut state = self.clone();
            state.remaining_time_steps -= 1;
            state.advance();
            next.push(state);
        }
        for (choice, state) in next.iter_mut().enumerate() {
            state.path.0.push(choice);
        }
        next
    }

    /// Returns the messages and times along a path that starts here, for a report.
    fn replay(&self, path: &[usize]) -> String {
        let mut state = self.clone();
        let mut text = String::new();
        for choice in path {
            let _ = write!(text, "\n{} ms, choice {choice} of {:?}", state.now_ms, state.messages);
            state = state.successors().swap_remove(*choice);
        }
        text
    }

    fn violation(&self) -> Option<String> {
        let (row, _) = self.table.rows.values().next()?;
        let of_part = |part| {
            self.worker
                .start_log
                .iter()
                .filter(|started| started.task.part == part)
                .count()
        };
        let starts = (0..row.spec.shape.parts).map(of_part).max().unwrap_or(0);
        if starts > 1 && !row.spec.idempotent {
            return Some(format!("started {starts} times"));
        }
        let denies_start = |o: &Outcome| matches!(o, Outcome::DidNotRun { .. } | Outcome::Cancelled { started: false });
        let is_denied = row.state == JobState::DidNotRun || self.outcomes.iter().any(denies_start);
        (is_denied && starts > 0).then(|| "reported as not run, but started".to_owned())
    }

    /// Runs until the job has settled and returns what is wrong with the final state.
    fn violation_after_settling(mut self) -> Option<String> {
        if self.remaining_elections > 0 {
            self.elect();
        }
        for _ in 0..20 {
            self.deliver_all();
            self.advance();
        }
        self.deliver_all();
        let is_final = self.table.rows.values().all(|(row, _)| row.state.is_final());
        self.violation()
            .or_else(|| (!is_final).then(|| format!("not final: {:?}", self.table.rows)))
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores to `depth` and returns the number of states and the violations.
fn explore(start: &State, depth: u32) -> (usize, Vec<String>) {
    let mut seen = HashSet::new();
    let mut violations = Vec::new();
    let mut report = |path: &Path, text: String| {
        // The first path is enough to understand a fault.
        let path = if violations.is_empty() {
            start.replay(&path.0)
        } else {
            String::new()
        };
        violations.push(text + &path);
    };
    let mut level = vec![start.clone()];
    for left in (0..=depth).rev() {
        let mut next = Vec::new();
        for state in level {
            if let Some(text) = state.violation() {
                report(&state.path, text);
            } else if left > 0 {
                next.extend(
                    state
                        .successors()
                        .into_iter()
                        .filter(|state| seen.insert(state.digest())),
                );
            } else {
                let path = state.path.clone();
                if let Some(text) = state.violation_after_settling() {
                    report(&path, text);
                }
            }
        }
        level = next;
    }
    (seen.len(), violations)
}

/// Returns the depth of an exploration in steps after submission; the environment variable `DEPTH` overrides it.
fn depth(default: u32) -> u32 {
    std::env::var("DEPTH")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[rstest]
#[case::once(job("once", false, 1, 1_000), 8)]
#[case::again(job("again", true, 1, 1_000), 7)]
#[case::gang(job("gang", false, 2, 1_000), 7)]
fn no_interleaving_breaks_the_protocol(#[case] spec: JobSpec, #[case] steps: u32) {
    let depth = depth(steps);
    let (count, violations) = explore(&State::new(spec, None, 2), depth);
    println!("{count} states to depth {depth}");
    assert!(
        violations.is_empty(),
        "{} of {count} states: {:#?}",
        violations.len(),
        &violations[..violations.len().min(3)]
    );
}

#[rstest]
#[case::start_under_an_old_epoch(Defect::IgnoresEpoch, "started 2 times")]
#[case::ended_task_not_reported(Defect::ForgetsTasks, "started 2 times")]
fn defect_is_found(#[case] defect: Defect, #[case] expected: &str) {
    let (_, violations) = explore(&State::new(job("once", false, 1, 1_000), Some(defect), 2), depth(7));
    assert!(
        violations.iter().any(|violation| violation.starts_with(expected)),
        "{violations:?}"
    );
}
