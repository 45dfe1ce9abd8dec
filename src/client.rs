//! The operators' client: JSON over HTTP to any entry.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use thiserror::Error;
use ureq::Agent;

/// The variable that names an entry when `--entry` does not.
const ENTRY_VARIABLE: &str = "FILBERTSTACK_ENTRY";

/// The variable that names the key file when `--key-file` does not.
const KEY_VARIABLE: &str = "FILBERTSTACK_KEY_FILE";

/// How long one answer may take: an election and a commit.
const TIMEOUT: Duration = Duration::from_secs(12);

/// How often a call is sent anew before its outcome counts as unknown.
const TRIES: usize = 5;

/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(400);

/// Why a command of the client failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No entry was given.
    #[error("no entry is given: add --entry IP:port or set {ENTRY_VARIABLE}")]
    NoEntry,
    /// No key was given.
    #[error("no key is given: add --key-file FILE or set {KEY_VARIABLE}")]
    NoKey,
    /// A file can't be read.
    #[error("{file}: {source}; give the path of a file that you may read")]
    File {
        /// The path.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// No entry answered.
    #[error("no entry answered ({0}): check the addresses and that one of them runs")]
    NoAnswer(String),
    /// An entry refused, or the change did.
    #[error("{0}")]
    Refused(String),
}

/// Where commands go and with which key.
#[derive(Debug)]
pub struct Client {
    entries: Vec<SocketAddr>,
    key: String,
    agent: Agent,
}

/// An entry's answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

impl Client {
    /// A client of `entries`, or of the one that the environment names.
    ///
    /// # Errors
    /// If there is no entry or no key.
    pub fn new(entries: Vec<SocketAddr>, key: Option<PathBuf>) -> Result<Self, ClientError> {
        let named = env::var(ENTRY_VARIABLE).unwrap_or_default();
        let named = named.split(',').filter_map(|addr| addr.trim().parse().ok());
        let entries = if entries.is_empty() {
            named.collect()
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
        // A key file may be the entry's own list of 'NAME SECRET' lines.
        let key = key.split_whitespace().last().unwrap_or_default().to_owned();
        Ok(Self {
            entries,
            key,
            agent,
        })
    }

    /// Asks for what is below `/operator/`.
    ///
    /// # Errors
    /// If no entry answers.
    pub fn get(&self, what: &str) -> Result<Answer, ClientError> {
        self.each(|url| {
            let call = self.agent.get(format!("{url}{what}"));
            call.header("authorization", format!("Bearer {}", self.key))
                .call()
        })
    }

    /// Sends `body` to what is below `/operator/`. It may be sent more than once, so `body` must
    /// name itself: by a request id or a digest.
    ///
    /// # Errors
    /// If no entry answers.
    pub fn post(&self, what: &str, body: &impl Serialize) -> Result<Answer, ClientError> {
        let body = serde_json::to_vec(body).map_err(|e| ClientError::Refused(e.to_string()))?;
        self.each(|url| {
            let call = self.agent.post(format!("{url}{what}"));
            let call = call.header("authorization", format!("Bearer {}", self.key));
            call.header("content-type", "application/json").send(&body)
        })
    }

    fn each(
        &self,
        call: impl Fn(&str) -> Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Answer, ClientError> {
        let mut last = String::new();
        for _ in 0..TRIES {
            for addr in &self.entries {
                match call(&format!("http://{addr}/operator/")).map(read) {
                    Ok(answer) if !matches!(answer.status, 503 | 504) => return Ok(answer),
                    Ok(answer) => last = message(&answer.body),
                    Err(error) => last = format!("{addr}: {error}"),
                }
            }
            std::thread::sleep(PAUSE);
        }
        Err(ClientError::NoAnswer(last))
    }
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Answer {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().unwrap_or_default();
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Answer { status, body }
}

/// The message of an error answer.
pub fn message(body: &Value) -> String {
    let text = body.pointer("/error/message").and_then(Value::as_str);
    text.map_or_else(|| body.to_string(), str::to_owned)
}
