use thiserror::Error;

/// Reason why a load run could not be carried out.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No entry instance has a configuration with organisations.
    #[error("no entry instance at {servers} has a configuration with organisations; apply a sheet first")]
    NoConfiguration {
        /// Addresses that were tried.
        servers: String,
    },
    /// A worker log cannot be read or has gaps, so that duplicate runs would go unnoticed.
    #[error("worker log at {url} cannot be read")]
    WorkerLog {
        /// Address of the log.
        url: String,
    },
    /// A data centre could not be taken out of service or back in.
    #[error("no entry instance took data centre {data_centre} {direction}")]
    DataCentre {
        /// Data centre.
        data_centre: String,
        /// `out` or `in`.
        direction: &'static str,
    },
}
