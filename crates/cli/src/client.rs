use std::time::Duration;

use awc::http::Method;
use awc::http::header::IF_MATCH;
use model::{Config, ConfigVersion};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{CommandError, Problem};

/// Largest reply that is read, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// HTTP client of the entry instances; tries the addresses in turn until one answers.
#[derive(Debug, Clone)]
pub struct Client {
    servers: Vec<String>,
    timeout: Duration,
}

/// Reply of an entry instance.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Client {
    /// Creates a client for base addresses such as `http://127.0.0.1:7001`.
    pub const fn new(servers: Vec<String>, timeout: Duration) -> Self {
        Self { servers, timeout }
    }

    /// Returns the base addresses.
    pub fn servers(&self) -> &[String] {
        &self.servers
    }

    /// Returns a client that uses a single address.
    #[must_use]
    pub fn with_server(&self, server: &str) -> Self {
        Self {
            servers: vec![server.to_owned()],
            timeout: self.timeout,
        }
    }

    /// Reads the configuration in force at the first instance that answers.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] if no instance answers or there is no configuration.
    pub async fn config(&self) -> Result<Config, CommandError> {
        self.get("/v1/config").await
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        decode(&self.send(Method::GET, path, None, None).await?)
    }

    pub(crate) async fn post(&self, path: &str, body: Option<&Value>) -> Result<Reply, CommandError> {
        self.send(Method::POST, path, body, None).await
    }

    pub(crate) async fn delete(&self, path: &str) -> Result<Reply, CommandError> {
        self.send(Method::DELETE, path, None, None).await
    }

    pub(crate) async fn put_config(&self, config: &Value, base: ConfigVersion) -> Result<Reply, CommandError> {
        self.send(Method::PUT, "/v1/config", Some(config), Some(base)).await
    }

    /// Sends a request to each address in turn until one replies, and turns problem details into errors.
    ///
    /// Repeating a request at another address is safe: the request id identifies the job, and a configuration change
    /// carries the version that it is based on.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
        if_match: Option<ConfigVersion>,
    ) -> Result<Reply, CommandError> {
        let client = awc::Client::builder().timeout(self.timeout).finish();
        let mut problem = None;
        for server in &self.servers {
            let mut request = client.request(method.clone(), format!("{server}{path}"));
            if let Some(version) = if_match {
                request = request.insert_header((IF_MATCH, format!("\"{version}\"")));
            }
            let sent = match body {
                Some(body) => request.send_json(body).await,
                None => request.send().await,
            };
            let Ok(mut response) = sent else { continue };
            let Ok(bytes) = response.body().limit(MAX_REPLY_BYTES).await else {
                continue;
            };
            let reply = Reply {
                status: response.status().as_u16(),
                body: bytes.to_vec(),
            };
            if reply.status < 400 {
                return Ok(reply);
            }
            let problem_details = reply.problem();
            // An instance that is stopping or has no configuration says so; another one may serve the request.
            if reply.status != 503 {
                return Err(CommandError::Problem(problem_details));
            }
            problem = Some(problem_details);
        }
        match problem {
            Some(problem) => Err(CommandError::Problem(problem)),
            None => Err(CommandError::Unreachable {
                tried: self.servers.join(", "),
            }),
        }
    }
}

impl Reply {
    fn problem(&self) -> Problem {
        let mut problem: Problem = serde_json::from_slice(&self.body).unwrap_or_else(|_| Problem {
            code: "http_error".into(),
            detail: format!("status {}", self.status),
            ..Problem::default()
        });
        problem.status = self.status;
        problem
    }
}

pub(crate) fn decode<T: DeserializeOwned>(reply: &Reply) -> Result<T, CommandError> {
    serde_json::from_slice(&reply.body).map_err(|error| CommandError::Protocol {
        message: error.to_string(),
    })
}
