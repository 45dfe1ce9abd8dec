//! The HTTP client of the operators' commands: it sends JSON to any entry.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use thiserror::Error;
use ureq::Agent;

/// The environment variable that lists the entries if `--entry` is absent.
const ENTRY_VARIABLE: &str = "FILBERTSTACK_ENTRY";

/// The environment variable that gives the path of the key file if `--key-file` is absent.
const KEY_VARIABLE: &str = "FILBERTSTACK_KEY_FILE";

/// The time limit of one HTTP request: it allows for an election and a commit.
const TIMEOUT: Duration = Duration::from_secs(12);

/// The number of rounds over all entries after which the outcome of a call counts as unknown.
const MAX_ROUNDS: usize = 5;

/// The pause after each round over the entries.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// The reasons for which a command of the client fails.
#[derive(Debug, Error)]
pub enum ClientError {
    /// Neither `--entry` nor the environment names an entry.
    #[error("no entry is given: add --entry IP:port or set {ENTRY_VARIABLE}")]
    NoEntry,
    /// Neither `--key-file` nor the environment names a key file.
    #[error("no key is given: add --key-file FILE or set {KEY_VARIABLE}")]
    NoKey,
    /// The file cannot be read or written.
    #[error("{file}: {source}; give the path of a file that you may read")]
    File {
        /// The path of the file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// No entry answered in any round; the text is the last failure.
    #[error("no entry answered ({0}): check the addresses and that one of them runs")]
    NoAnswer(String),
    /// The entry or the command refused the request.
    #[error("{0}")]
    Refused(String),
}

/// The client holds the addresses of the entries and the operator's key.
#[derive(Debug)]
pub struct Client {
    entries: Vec<SocketAddr>,
    key: String,
    agent: Agent,
}

/// The answer of an entry.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The body as JSON, or as a JSON string if it is not JSON.
    pub body: Value,
}

impl Client {
    /// Returns a client of `entries`, or of those that the environment lists if `entries` is empty.
    ///
    /// # Errors
    /// Returns an error if no entry or no key is given, or if the key file cannot be read.
    pub fn new(entries: Vec<SocketAddr>, key: Option<PathBuf>) -> Result<Self, ClientError> {
        let from_env = env::var(ENTRY_VARIABLE).unwrap_or_default();
        let from_env = from_env
            .split(',')
            .filter_map(|addr| addr.trim().parse().ok());
        let entries = if entries.is_empty() {
            from_env.collect()
        } else {
            entries
        };
        if entries.is_empty() {
            return Err(ClientError::NoEntry);
        }
        let file = key.or_else(|| env::var_os(KEY_VARIABLE).map(PathBuf::from));
        let file = file.ok_or(ClientError::NoKey)?;
        let key = fs::read_to_string(&file);
        let key = key.map_err(|source| ClientError::File { file, source })?;
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .build()
            .new_agent();
        // The key file may also be the entry's list of 'NAME SECRET' lines; the last word is a secret in
        // both cases.
        let key = key.split_whitespace().last().unwrap_or_default().to_owned();
        Ok(Self {
            entries,
            key,
            agent,
        })
    }

    /// Sends a GET request for `path` below `/operator/`.
    ///
    /// # Errors
    /// Returns an error if no entry answers.
    pub fn get(&self, path: &str) -> Result<Answer, ClientError> {
        self.try_entries(|url| {
            let call = self.agent.get(format!("{url}{path}"));
            call.header("authorization", format!("Bearer {}", self.key))
                .call()
        })
    }

    /// Sends `body` to `path` below `/operator/`. The request may be sent more than once, so `body`
    /// must be identified by a request id or a digest.
    ///
    /// # Errors
    /// Returns an error if `body` cannot be encoded or no entry answers.
    pub fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, ClientError> {
        let body = serde_json::to_vec(body).map_err(|e| ClientError::Refused(e.to_string()))?;
        self.try_entries(|url| {
            let call = self.agent.post(format!("{url}{path}"));
            let call = call.header("authorization", format!("Bearer {}", self.key));
            call.header("content-type", "application/json").send(&body)
        })
    }

    /// Calls one entry after the other until one gives another answer than 503 or 504.
    fn try_entries(
        &self,
        call: impl Fn(&str) -> Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Answer, ClientError> {
        let mut last_error = String::new();
        for _ in 0..MAX_ROUNDS {
            for addr in &self.entries {
                match call(&format!("http://{addr}/operator/")).map(read_answer) {
                    Ok(answer) if !matches!(answer.status, 503 | 504) => return Ok(answer),
                    Ok(answer) => last_error = error_message(&answer.body),
                    Err(error) => last_error = format!("{addr}: {error}"),
                }
            }
            std::thread::sleep(ROUND_PAUSE);
        }
        Err(ClientError::NoAnswer(last_error))
    }
}

fn read_answer(mut response: ureq::http::Response<ureq::Body>) -> Answer {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().unwrap_or_default();
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Answer { status, body }
}

/// Returns the message in the body of an error answer, or the whole body if it has none.
pub fn error_message(body: &Value) -> String {
    let text = body.pointer("/error/message").and_then(Value::as_str);
    text.map_or_else(|| body.to_string(), str::to_owned)
}
