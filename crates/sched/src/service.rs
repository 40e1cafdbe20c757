use std::sync::Arc;

use model::Config;
use policy::Policy;
use trace::{Event, EventKind};

use crate::Action;
use crate::job::{Key, Phase};
use crate::run::EndCause;
use crate::scheduler::Scheduler;

impl<P: Policy> Scheduler<P> {
    /// Applies a configuration that came into force.
    pub(crate) fn configured(&mut self, config: Arc<Config>, actions: &mut Vec<Action>) {
        if let Err(error) = self.policy.configure(self.now_ms, &config) {
            self.event(Event::new(EventKind::GuaranteeLost).cause(error.to_string()), actions);
        }
        let was_in_service = self.is_in_service;
        self.is_in_service = config.is_in_service(&self.data_centre);
        self.config = Some(config);
        if was_in_service && !self.is_in_service {
            self.event(Event::new(EventKind::DataCentreOut), actions);
            self.withdraw(actions);
            self.recall_all_grants(actions);
        } else if !was_in_service && self.is_in_service {
            self.event(Event::new(EventKind::DataCentreIn), actions);
            self.supply_grants(actions);
        }
    }

    /// Ends every attempt for which no start was sent.
    pub(crate) fn withdraw(&mut self, actions: &mut Vec<Action>) {
        let keys: Vec<Key> = self.transient.iter().copied().collect();
        for key in keys {
            self.withdraw_job(key, actions);
        }
    }

    /// Ends reservations at a worker that takes no new work, and recalls its grants.
    pub(crate) fn withdraw_from(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let keys: Vec<Key> = self.workers[ix].attempt_leases.values().copied().collect();
        for key in keys {
            self.withdraw_job(key, actions);
        }
        self.recall_grants_at(ix, actions);
    }

    fn withdraw_job(&mut self, key: Key, actions: &mut Vec<Action>) {
        let phase = self.jobs.get(key).map(|job| job.phase);
        if matches!(phase, Some(Phase::Recording | Phase::Reserving)) {
            self.end_run(key, EndCause::Withdrawn, actions);
        }
    }
}
