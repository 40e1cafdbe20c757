//! Exhaustive exploration of the attempt and lease protocol: two schedulers, one worker, one lost message.
//!
//! Guards against an interleaving that starts a job twice or denies a start. Every order of delivery is tried: commands,
//! replies, store writes, scans and their results wait in a pool without order; at each step one of them is delivered,
//! one is lost (once), the other scheduler is elected (once), or time passes. Renewals are delivered at once.

use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::fmt::{self, Write as _};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use model::{Epoch, JobRow, JobSpec, JobState, Outcome, Resources, WorkerId};
use rstest::rstest;
use sched::{Action, Input, LostCommand, Scheduler, Settings, WorkerReply, WriteId, WriteOutcome};

use crate::common::{Command, Defect, FakeWorker, FirstFit, Table, config, job};

/// Longest step of time; longer than a reservation bound and shorter than a lease.
const STEP_MS: u64 = 1_600;

#[derive(Debug, Clone)]
enum Message {
    Command(usize, Command),
    Reply(usize, LostCommand, WorkerReply),
    Write(usize, WriteId, Box<JobRow>, u64),
    Scan(usize),
    Input(usize, Input),
}

/// Choices that led to a state; not part of the state.
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
    scheds: [Scheduler<FirstFit>; 2],
    worker: FakeWorker,
    table: Table,
    messages: Vec<Message>,
    outcomes: Vec<Outcome>,
    losses: u32,
    elections: u32,
    steps_of_time: u32,
}

impl State {
    fn new(spec: JobSpec, defect: Option<Defect>, steps_of_time: u32) -> Self {
        let id: WorkerId = "w1".parse().unwrap();
        let capacity = Resources::new(8, 8, 0, 0);
        let sched = |name: &str| {
            let (instance, dc) = (name.parse().unwrap(), "dc1".parse().unwrap());
            let policy = FirstFit::new(std::slice::from_ref(&id), capacity);
            Scheduler::new(Settings::default(), policy, instance, dc, vec![id.clone()])
        };
        let mut state = Self {
            path: Path::default(),
            now_ms: 0,
            scheds: [sched("a"), sched("b")],
            worker: FakeWorker::new(id.clone(), capacity, defect),
            table: Table::default(),
            messages: Vec::new(),
            outcomes: Vec::new(),
            losses: 0,
            elections: 0,
            steps_of_time,
        };
        for node in 0..2 {
            let config = Arc::new(config(1, true, false));
            state.handle(node, Input::Configured { config });
        }
        state.handle(0, Input::Elected { epoch: Epoch(1) });
        state.drain();
        let row = Box::new(JobRow::new(spec, "dc1".parse().unwrap(), 1_000_000));
        state.table.commit(&row, 0, None, None);
        state.handle(0, Input::Submitted { row, version: 1 });
        state.losses = 1;
        state.elections = 1;
        state
    }

    fn handle(&mut self, node: usize, input: Input) {
        let mut actions = Vec::new();
        self.scheds[node].handle(self.now_ms, 1_000_000 + self.now_ms, input, &mut actions);
        let epoch = self.scheds[node].epoch().unwrap_or_default();
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
            Message::Command(node, command) => (node, self.lost(command.lost())),
            Message::Reply(node, lost, _) => (node, self.lost(lost)),
            Message::Write(node, write, ..) => {
                self.messages.push(Message::Input(node, unknown(write)));
                let outcome = WriteOutcome::Unavailable;
                (node, Input::Written { write, outcome })
            }
            // The result of a write comes late, by read-back.
            Message::Input(node, Input::Written { write, outcome }) if outcome != WriteOutcome::Unknown => {
                self.messages.push(Message::Input(node, unknown(write)));
                (node, Input::Written { write, outcome })
            }
            Message::Scan(_) | Message::Input(..) => return false,
        };
        self.messages.remove(index);
        self.messages.push(Message::Input(node, input));
        self.losses -= 1;
        true
    }

    fn lost(&self, command: LostCommand) -> Input {
        Input::Worker {
            worker: self.worker.id.clone(),
            reply: WorkerReply::Lost(command),
        }
    }

    fn pass(&mut self) {
        self.now_ms += STEP_MS;
        self.worker.pass(self.now_ms);
        for node in 0..2 {
            self.handle(node, Input::Tick);
        }
    }

    fn elect(&mut self) {
        self.elections -= 1;
        self.handle(1, Input::Elected { epoch: Epoch(2) });
    }

    /// Delivers everything in order, without passing time.
    fn drain(&mut self) {
        for _ in 0..200 {
            if self.messages.is_empty() {
                return;
            }
            self.deliver(0);
        }
        panic!("endless exchange");
    }

    /// Returns every state that one step leads to.
    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.messages.len() {
            let mut state = self.clone();
            state.deliver(index);
            next.push(state);
            let mut state = self.clone();
            if self.losses > 0 && state.lose(index) {
                next.push(state);
            }
        }
        if self.elections > 0 {
            let mut state = self.clone();
            state.elect();
            next.push(state);
        }
        if self.steps_of_time > 0 {
            let mut state = self.clone();
            state.steps_of_time -= 1;
            state.pass();
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
            state = state.next().swap_remove(*choice);
        }
        text
    }

    fn wrong(&self) -> Option<String> {
        let (row, _) = self.table.rows.values().next()?;
        let of_part = |part| {
            self.worker
                .log
                .iter()
                .filter(|started| started.task.part == part)
                .count()
        };
        let starts = (0..row.spec.shape.parts).map(of_part).max().unwrap_or(0);
        if starts > 1 && !row.spec.idempotent {
            return Some(format!("started {starts} times"));
        }
        let never = |o: &Outcome| matches!(o, Outcome::DidNotRun { .. } | Outcome::Cancelled { started: false });
        let is_denied = row.state == JobState::DidNotRun || self.outcomes.iter().any(never);
        (is_denied && starts > 0).then(|| "said not to have run, and started".to_owned())
    }

    /// Lets the state come to rest and returns what is wrong with the end.
    fn end(mut self) -> Option<String> {
        if self.elections > 0 {
            self.elect();
        }
        for _ in 0..20 {
            self.drain();
            self.pass();
        }
        self.drain();
        let is_final = self.table.rows.values().all(|(row, _)| row.state.is_final());
        self.wrong()
            .or_else(|| (!is_final).then(|| format!("left {:?}", self.table.rows)))
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores to `depth` and returns the number of states and what is wrong.
fn explore(start: &State, depth: u32) -> (usize, Vec<String>) {
    let mut seen = HashSet::new();
    let mut wrong = Vec::new();
    let mut report = |path: &Path, text: String| {
        // The first path is enough to understand a fault.
        let path = if wrong.is_empty() {
            start.replay(&path.0)
        } else {
            String::new()
        };
        wrong.push(text + &path);
    };
    let mut level = vec![start.clone()];
    for left in (0..=depth).rev() {
        let mut next = Vec::new();
        for state in level {
            if let Some(text) = state.wrong() {
                report(&state.path, text);
            } else if left > 0 {
                next.extend(state.next().into_iter().filter(|state| seen.insert(state.digest())));
            } else {
                let path = state.path.clone();
                if let Some(text) = state.end() {
                    report(&path, text);
                }
            }
        }
        level = next;
    }
    (seen.len(), wrong)
}

/// Returns the depth of an exploration in steps after the job was handed over; `DEPTH` in the environment replaces it.
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
    let (count, wrong) = explore(&State::new(spec, None, 2), depth);
    println!("{count} states to depth {depth}");
    assert!(
        wrong.is_empty(),
        "{} of {count} states: {:#?}",
        wrong.len(),
        &wrong[..wrong.len().min(3)]
    );
}

#[rstest]
#[case::start_under_an_old_epoch(Defect::IgnoresEpoch, "started 2 times")]
#[case::ended_task_not_reported(Defect::ForgetsTasks, "started 2 times")]
fn defect_is_found(#[case] defect: Defect, #[case] expected: &str) {
    let (_, wrong) = explore(&State::new(job("once", false, 1, 1_000), Some(defect), 2), depth(7));
    assert!(wrong.iter().any(|wrong| wrong.starts_with(expected)), "{wrong:?}");
}
