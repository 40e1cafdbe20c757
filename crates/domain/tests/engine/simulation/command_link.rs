use super::*;

/// Connections to workers, on which commands wait for replies.
#[derive(Debug, Default)]
pub struct CommandLink {
    /// Workers that answer no commands for now, whether they answer renewals or not.
    pub held_workers: Vec<CompactString>,
    pub(super) commands: Vec<HeldCommand>,
}

#[derive(Debug)]
pub(super) enum Command {
    Start(domain::StartCommand),
    Stop(domain::TaskRun),
    Throttle(domain::TaskRun, u32),
}

/// Command without a reply.
#[derive(Debug)]
pub(super) struct HeldCommand {
    worker: WorkerKey,
    id: CompactString,
    command: Command,
    until_ms: u64,
}

impl Simulation {
    /// Time after which a command ends without a reply.
    const COMMAND_MS: u64 = 1_200;

    /// Commands in flight beyond which workers close connections, as the platform declares.
    const CONNECTIONS_MAX: usize = 64;

    /// Sends a command to a worker; it gets no reply for now if the worker answers no commands.
    pub(super) fn send_command(&mut self, worker: WorkerKey, id: &CompactString, command: Command) {
        if !self.command_link.held_workers.contains(id) {
            self.answer(worker, id, &command);
            return;
        }
        let commands = &mut self.command_link.commands;
        commands.push(HeldCommand {
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
    }

    fn answer(&mut self, worker: WorkerKey, id: &CompactString, command: &Command) {
        match command {
            Command::Start(command) => {
                let outcome = self.start(id, command);
                self.engine
                    .start_replied(worker, &command.task_run, outcome, self.now_ms);
            }
            Command::Stop(task_run) => {
                let (epoch, now_ms) = (self.epoch, self.now_ms);
                if self.workers.contains_key(id) {
                    self.check_availability(id, std::slice::from_ref(task_run));
                }
                let fake = self.workers.get_mut(id);
                let is_confirmed = fake.is_some_and(|fake| fake.stop(task_run, epoch, now_ms));
                self.engine.stop_replied(worker, task_run, is_confirmed, now_ms);
            }
            Command::Throttle(task_run, percent) => {
                let fake = self.workers.get_mut(id);
                if let Some(run) = fake.and_then(|fake| fake.run_mut(task_run)) {
                    run.speed_percent = *percent;
                }
                self.engine.throttle_replied(worker);
            }
        }
    }

    /// Delivers the commands to workers that answer again, and ends those that have waited too long.
    pub(super) fn advance_command_link(&mut self) {
        let now_ms = self.now_ms;
        let link = &mut self.command_link;
        let held_workers = link.held_workers.clone();
        let is_held = |id: &CompactString| held_workers.contains(id);
        let ended: Vec<_> = link
            .commands
            .extract_if(.., |held| !is_held(&held.id) || now_ms >= held.until_ms)
            .collect();
        for held in ended {
            if !is_held(&held.id) {
                self.answer(held.worker, &held.id, &held.command);
                continue;
            }
            match held.command {
                Command::Start(command) => {
                    let run = &command.task_run;
                    self.engine
                        .start_replied(held.worker, run, StartOutcome::Unanswered, now_ms);
                }
                Command::Stop(run) => self.engine.stop_replied(held.worker, &run, false, now_ms),
                Command::Throttle(..) => self.engine.throttle_replied(held.worker),
            }
        }
    }
}
