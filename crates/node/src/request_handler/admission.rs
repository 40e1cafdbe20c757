use std::rc::Rc;

use compact_str::CompactString;
use domain::{Config, Route};

use super::{JobRequest, Refused, RequestHandler};
use crate::clock::boot_ms;
use crate::ports::Store;

/// Configuration, queue, organisation and job id of an admitted request.
#[derive(Debug, Clone)]
pub(super) struct AdmittedRequest {
    pub config: Rc<Config>,
    pub route: Route,
    pub organisation: CompactString,
    pub id: CompactString,
}

/// Admission of requests by queue and key.
impl<S: Store, W: 'static> RequestHandler<S, W> {
    pub(super) fn is_config_fresh(&self) -> bool {
        let confirmed_ms = self.shared.view.borrow().config_confirmed_ms;
        boot_ms() <= confirmed_ms + self.shared.settings.config_age_max_ms()
    }

    /// Admits a request with effects that no transaction makes conditional on the configuration, which must therefore
    /// have been confirmed recently to be the newest.
    pub(super) fn admit_now(&self, request: &JobRequest) -> Result<AdmittedRequest, Refused> {
        if !self.is_config_fresh() {
            return Err(if self.shared.view.borrow().config.is_none() {
                Refused::NoConfig
            } else {
                Refused::StaleConfig
            });
        }
        self.admit(request)
    }

    /// Admits a request by its queue and key.
    pub(super) fn admit(&self, request: &JobRequest) -> Result<AdmittedRequest, Refused> {
        let Some(config) = self.shared.view.borrow().config.clone() else {
            return Err(Refused::NoConfig);
        };
        // With a stale configuration, a queue or key that is missing from it may exist by now.
        let unless_stale = |refusal| {
            if self.is_config_fresh() {
                refusal
            } else {
                Refused::StaleConfig
            }
        };
        let Some(route) = config.route(&request.host, &request.path).cloned() else {
            return Err(unless_stale(Refused::UnknownRoute));
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
            None => return Err(unless_stale(Refused::UnknownKey)),
        };
        Ok(AdmittedRequest {
            config,
            route,
            organisation,
            id,
        })
    }
}
