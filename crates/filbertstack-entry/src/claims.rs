//! Claims of idempotency keys: committed before a request that must not run twice is sent.

use std::sync::Arc;
use std::time::Duration;

use filbertstack_control::command::Answer;
use filbertstack_control::command::Body;
use filbertstack_control::command::Claim;
use filbertstack_control::command::Release;
use filbertstack_control::command::Settle;
use filbertstack_control::key::key_time;
use filbertstack_control::outcome::Decision;
use filbertstack_control::outcome::Fault;
use filbertstack_control::outcome::Outcome;
use filbertstack_control::outcome::Reply;
use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::names::OrgName;
use prost::Message;
use spdlog::warn;

use crate::http::Refusal;
use crate::ledger::Ledger;
use crate::ledger::ProposeError;
use crate::voter::unix_millis;

/// How long a key is kept after its last change: a day, past any resend by a person or a queue.
pub const KEY_LIFE: Duration = Duration::from_secs(24 * 3600);

/// How much longer than its request's deadline a claim stays open: the time to settle it.
const GRACE: Duration = Duration::from_secs(15);

/// How long a claim may take to commit: an election and a round.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a settlement may take to commit before the answer goes out without it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest answer that is kept for a resend, in bytes.
pub const MAX_KEPT: usize = 16 << 10;

/// The longest key, in bytes.
pub const MAX_KEY: usize = 200;

/// An answer as it is kept for a resend.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Kept {
    /// The media type.
    #[prost(string, tag = "1")]
    pub media: String,
    /// The body.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// The version that answered, as text; empty for a plain service.
    #[prost(string, tag = "3")]
    pub version: String,
}

/// A request to be claimed.
#[derive(Clone, Debug)]
pub struct Wanted<'a> {
    /// The organisation.
    pub org: &'a OrgName,
    /// The caller's key.
    pub key: &'a str,
    /// What makes the request the same one: method, path and body.
    pub digest: Digest,
    /// This attempt's number.
    pub attempt: u64,
    /// The time left for the request.
    pub timeout: Millis,
}

/// What a claim came to, if it was not granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotGranted {
    /// The request ran before; this is its answer.
    Ran {
        /// Its status.
        status: u16,
        /// The answer, if it was small enough to be kept.
        kept: Option<Kept>,
    },
    /// It is refused.
    Refused(Refusal),
}

/// Claims, settles and releases keys.
#[derive(Debug)]
pub struct Claims {
    ledger: Arc<Ledger>,
    process: u64,
}

/// A claim that was granted: its request may run once. Dropped unsettled, it counts as unknown.
#[derive(Debug)]
#[must_use = "a claim is settled or released, or its request counts as unknown"]
pub struct Granted {
    ledger: Arc<Ledger>,
    organisation: String,
    key: String,
    fence: u64,
}

impl Claims {
    /// Claims of this entry process, which `process` names and no other.
    pub fn new(ledger: Arc<Ledger>, process: u64) -> Self {
        Self { ledger, process }
    }

    /// Claims a key. The same claim sent again after a lost reply gets the same grant.
    ///
    /// # Errors
    /// [`NotGranted`] with what to tell the caller.
    pub fn claim(&self, wanted: &Wanted<'_>) -> Result<Granted, NotGranted> {
        let grace = u64::try_from(GRACE.as_millis()).unwrap_or(u64::MAX);
        let claim = Claim {
            organisation: wanted.org.to_string(),
            key: wanted.key.into(),
            issued: key_time(wanted.key),
            body: wanted.digest.to_vec(),
            entry: self.process,
            attempt: wanted.attempt,
            until: unix_millis()
                .saturating_add(wanted.timeout.0)
                .saturating_add(grace),
            life: u64::try_from(KEY_LIFE.as_millis()).unwrap_or(u64::MAX),
        };
        let outcome = self.propose(claim)?;
        let Some(Reply::Claimed(claimed)) = outcome.reply else {
            let text = "the key was not claimed: a voter runs another release";
            return Err(NotGranted::Refused(
                Refusal::not_run(503, text).retry_after_ms(1000),
            ));
        };
        self.decided(wanted, claimed.decision)
    }

    /// Proposes the claim; a claim that may or may not stand is given up.
    ///
    /// Nothing was sent to a target yet, so whatever became of the claim, nothing ran. Left as it
    /// is, a claim whose outcome was lost would make the caller's resend "unknown".
    fn propose(&self, claim: Claim) -> Result<Outcome, NotGranted> {
        let proposed = self
            .ledger
            .propose(Body::Claim(claim.clone()), CLAIM_TIMEOUT);
        let error = match proposed {
            Ok(outcome) => return Ok(outcome),
            Err(error) => error,
        };
        if let ProposeError::Unknown(_) = error {
            let abandoned = self.ledger.propose(Body::Abandon(claim), SETTLE_TIMEOUT);
            if let Err(error) = abandoned {
                warn!("a claim was not given up: {error}");
            }
        }
        let refusal = Refusal::not_run(503, format!("the key can't be claimed now: {error}"));
        Err(NotGranted::Refused(refusal.retry_after_ms(1000)))
    }

    fn decided(
        &self,
        wanted: &Wanted<'_>,
        decision: Option<Decision>,
    ) -> Result<Granted, NotGranted> {
        let refusal = match decision {
            Some(Decision::Granted(fence)) => {
                return Ok(Granted {
                    ledger: self.ledger.clone(),
                    organisation: wanted.org.to_string(),
                    key: wanted.key.into(),
                    fence,
                });
            }
            Some(Decision::Ran(answer)) => return Err(ran(&answer)),
            Some(Decision::InProgress(until)) => {
                let left = until.saturating_sub(unix_millis()).clamp(1000, 5000);
                let text = "the first request with this key is in progress: ask again later";
                Refusal::unknown(409, text).retry_after_ms(left)
            }
            Some(Decision::Unknown(_)) => Refusal::unknown(
                409,
                "a request with this key may have run; it is never run again under this key: \
                 find out at the service, then use a new key",
            ),
            Some(Decision::BodyDiffers(_)) => Refusal::not_run(
                422,
                "this key was used for another request: use a new key for a new request",
            ),
            Some(Decision::Expired(_)) => Refusal::unknown(
                409,
                "the key is older than what is kept: whether it ran is not known any more",
            ),
            Some(Decision::Refused(reason)) if reason.fault() == Fault::Expired => {
                Refusal::not_run(503, reason.to_string()).retry_after_ms(1000)
            }
            Some(Decision::Refused(reason)) => Refusal::not_run(400, reason.to_string()),
            Some(Decision::Full(after)) => {
                Refusal::not_run(503, "no room for another key now: come back")
                    .retry_after_ms(after)
            }
            None => Refusal::not_run(503, "a voter runs another release").retry_after_ms(1000),
        };
        Err(NotGranted::Refused(refusal))
    }
}

fn ran(answer: &Answer) -> NotGranted {
    let kept = answer
        .bytes
        .as_ref()
        .and_then(|bytes| Kept::decode(bytes.as_slice()).ok());
    NotGranted::Ran {
        status: u16::try_from(answer.status).unwrap_or(500),
        kept,
    }
}

impl Granted {
    /// Records that the request ran, with its answer if that is small enough to be kept.
    pub fn settle(self, status: u16, digest: Digest, kept: Option<&Kept>) {
        let bytes = kept
            .filter(|kept| kept.encoded_len() <= MAX_KEPT)
            .map(Message::encode_to_vec);
        let answer = Answer {
            status: status.into(),
            digest: digest.to_vec(),
            bytes,
        };
        self.end(Some(answer));
    }

    /// Records that nobody knows whether the request ran.
    pub fn settle_unknown(self) {
        self.end(None);
    }

    fn end(self, answer: Option<Answer>) {
        let body = Body::Settle(Settle {
            organisation: self.organisation,
            key: self.key,
            fence: self.fence,
            answer,
        });
        // Not settled, the claim turns unknown by itself after its deadline: never run again.
        if let Err(error) = self.ledger.propose(body, SETTLE_TIMEOUT) {
            warn!("a claim was not settled: {error}");
        }
    }

    /// Gives the key back: the request certainly did not run.
    pub fn release(self) {
        let body = Body::Release(Release {
            organisation: self.organisation,
            key: self.key,
            fence: self.fence,
        });
        if let Err(error) = self.ledger.propose(body, SETTLE_TIMEOUT) {
            warn!("a claim was not released: {error}");
        }
    }
}
