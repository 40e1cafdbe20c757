use super::*;

/// Connections to workers, on which start commands wait for replies.
#[derive(Debug, Default)]
pub struct CommandLink {
    /// Workers that answer no start commands for now, whether they answer renewals or not.
    pub held_workers: Vec<CompactString>,
    pub(super) commands: Vec<HeldStart>,
}

/// Start command without a reply.
#[derive(Debug)]
pub(super) struct HeldStart {
    worker: WorkerKey,
    id: CompactString,
    command: domain::StartCommand,
    until_ms: u64,
}

impl Simulation {
    /// Time after which a command ends without a reply.
    const COMMAND_MS: u64 = 1_200;

    /// Commands in flight beyond which workers close connections, as the platform declares.
    const CONNECTIONS_MAX: usize = 64;

    /// Keeps a start command that its worker does not answer; returns it if the worker answers.
    pub(super) fn hold_start(
        &mut self,
        worker: WorkerKey,
        id: &CompactString,
        command: domain::StartCommand,
    ) -> Option<domain::StartCommand> {
        if !self.command_link.held_workers.contains(id) {
            return Some(command);
        }
        let commands = &mut self.command_link.commands;
        commands.push(HeldStart {
            worker,
            id: id.clone(),
            command,
            until_ms: self.now_ms + Self::COMMAND_MS,
        });
        let in_flight = commands.iter().filter(|held| held.id == *id).count();
        if in_flight > Self::CONNECTIONS_MAX {
            self.violations
                .push(format!("{} ms: {in_flight} commands in flight to {id}", self.now_ms));
        }
        None
    }

    /// Delivers the commands to workers that answer again, and ends those that have waited too long.
    pub(super) fn advance_command_link(&mut self) {
        let now_ms = self.now_ms;
        let held_workers = self.command_link.held_workers.clone();
        let is_held = |id: &CompactString| held_workers.contains(id);
        let ended: Vec<_> = self
            .command_link
            .commands
            .extract_if(.., |held| !is_held(&held.id) || now_ms >= held.until_ms)
            .collect();
        for held in ended {
            let outcome = if is_held(&held.id) {
                StartOutcome::Unanswered
            } else {
                self.deliver_start(&held.id, self.epoch, &held.command)
            };
            let run = &held.command.task_run;
            self.engine.start_replied(held.worker, run, outcome, now_ms);
        }
    }
}
