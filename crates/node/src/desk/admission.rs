use std::rc::Rc;

use compact_str::CompactString;
use domain::{Config, Route};

use super::{Desk, JobRequest, Refused};
use crate::clock::boot_ms;
use crate::ports::Store;

/// Queue, owner and id of a call that is allowed.
#[derive(Debug, Clone)]
pub(super) struct Allowed {
    pub config: Rc<Config>,
    pub route: Route,
    pub organisation: CompactString,
    pub id: CompactString,
}

/// Queues and keys of calls.
impl<S: Store, W: 'static> Desk<S, W> {
    pub(super) fn is_config_checked(&self) -> bool {
        let checked_ms = self.shared.view.borrow().config_checked_ms;
        boot_ms() <= checked_ms + self.shared.settings.config_age_max_ms()
    }

    /// Checks a call that takes effect without a transaction: the configuration must be known to be the newest.
    pub(super) fn allowed_now(&self, request: &JobRequest) -> Result<Allowed, Refused> {
        if !self.is_config_checked() {
            return Err(if self.shared.view.borrow().config.is_none() {
                Refused::NoConfig
            } else {
                Refused::StaleConfig
            });
        }
        self.allowed(request)
    }

    /// Checks queue and key of a call.
    pub(super) fn allowed(&self, request: &JobRequest) -> Result<Allowed, Refused> {
        let Some(config) = self.shared.view.borrow().config.clone() else {
            return Err(Refused::NoConfig);
        };
        // Without a fresh configuration a queue or key that is missing here may exist.
        let missing = |refusal| {
            if self.is_config_checked() {
                refusal
            } else {
                Refused::StaleConfig
            }
        };
        let Some(route) = config.route(&request.host, &request.path).cloned() else {
            return Err(missing(Refused::UnknownRoute));
        };
        let id = CompactString::from(&request.path[route.path_prefix.len()..]);
        let organisation = request
            .key
            .as_ref()
            .and_then(|key| config.organisation_of(key))
            .map(|organisation| organisation.name.clone());
        let organisation = match organisation {
            Some(organisation) => organisation,
            None if route.is_public => CompactString::default(),
            None => return Err(missing(Refused::UnknownKey)),
        };
        Ok(Allowed {
            config,
            route,
            organisation,
            id,
        })
    }
}
