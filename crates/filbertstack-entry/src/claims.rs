//! Claims of idempotency keys. A claim is committed before a request that must not run twice is sent.

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
use filbertstack_core::status::is_final;
use prost::Message;
use spdlog::warn;

use crate::http::Refusal;
use crate::ledger::Ledger;
use crate::ledger::ProposeError;
use crate::voter::unix_millis;

/// The time for which a key is kept after its last change. A day covers resends by people and by queues.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The time for which a claim stays open beyond its request's deadline, so that it can be settled.
const SETTLE_GRACE: Duration = Duration::from_secs(15);

/// The time that a claim may take to commit: an election and a round of the log.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// The time that a settlement may take to commit before the answer is sent without it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest answer that is stored for resends, in bytes.
pub const MAX_STORED_ANSWER: usize = 16 << 10;

/// The maximum length of a key, in bytes.
pub const MAX_KEY: usize = 200;

/// An answer that is stored for resends of its request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredAnswer {
    /// The media type.
    #[prost(string, tag = "1")]
    pub media: String,
    /// The body.
    #[prost(bytes = "vec", tag = "2")]
    pub body: Vec<u8>,
    /// The version that gave the answer, as text; empty for a plain service.
    #[prost(string, tag = "3")]
    pub version: String,
}

/// A request whose key is to be claimed.
#[derive(Clone, Debug)]
pub struct ClaimRequest<'a> {
    /// The organisation.
    pub org: &'a OrgName,
    /// The caller's key.
    pub key: &'a str,
    /// The digest of method, path and body, which tells whether a resend is the same request.
    pub digest: Digest,
    /// The number of this attempt.
    pub attempt: u64,
    /// The time left for the request.
    pub timeout: Millis,
}

/// The outcome of a claim that was not granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotGranted {
    /// The request ran before, and this is its answer.
    Ran {
        /// The HTTP status.
        status: u16,
        /// The answer, if it was small enough to be stored.
        kept: Option<StoredAnswer>,
    },
    /// The claim is refused.
    Refused(Refusal),
}

/// Claims, settles and releases keys.
#[derive(Debug)]
pub struct Claims {
    ledger: Arc<Ledger>,
    process: u64,
}

/// A granted claim, whose request may run once. If it is dropped unsettled, the request counts as unknown.
#[derive(Debug)]
#[must_use = "a claim is settled or released, or its request counts as unknown"]
pub struct Granted {
    ledger: Arc<Ledger>,
    organisation: String,
    key: String,
    fence: u64,
}

impl Claims {
    /// Creates the claims of this entry process. `process` is a number that no other process uses.
    pub fn new(ledger: Arc<Ledger>, process: u64) -> Self {
        Self { ledger, process }
    }

    /// Claims a key. A claim that is sent again after a lost reply gets the same grant.
    ///
    /// # Errors
    /// Returns [`NotGranted`] with the answer for the caller.
    pub fn claim(&self, request: &ClaimRequest<'_>) -> Result<Granted, NotGranted> {
        let grace_ms = u64::try_from(SETTLE_GRACE.as_millis()).unwrap_or(u64::MAX);
        let claim = Claim {
            organisation: request.org.to_string(),
            key: request.key.into(),
            issued: key_time(request.key),
            body: request.digest.to_vec(),
            entry: self.process,
            attempt: request.attempt,
            until: unix_millis()
                .saturating_add(request.timeout.0)
                .saturating_add(grace_ms),
            life: u64::try_from(KEY_RETENTION.as_millis()).unwrap_or(u64::MAX),
        };
        let outcome = self.propose(claim)?;
        let Some(Reply::Claimed(claimed)) = outcome.reply else {
            let text = "the key was not claimed: a voter runs another release";
            return Err(NotGranted::Refused(
                Refusal::not_run(503, text).retry_after_ms(1000),
            ));
        };
        self.grant(request, claimed.decision)
    }

    /// Proposes the claim, and abandons it if its outcome is unknown.
    ///
    /// Nothing has been sent to a target yet, so nothing ran, whatever the outcome of the claim. If the claim
    /// were not abandoned, the caller's resend would be answered with "unknown".
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
                warn!("could not abandon a claim: {error}");
            }
        }
        let refusal = Refusal::not_run(503, format!("the key can't be claimed now: {error}"));
        Err(NotGranted::Refused(refusal.retry_after_ms(1000)))
    }

    fn grant(
        &self,
        request: &ClaimRequest<'_>,
        decision: Option<Decision>,
    ) -> Result<Granted, NotGranted> {
        let refusal = match decision {
            Some(Decision::Granted(fence)) => {
                return Ok(Granted {
                    ledger: self.ledger.clone(),
                    organisation: request.org.to_string(),
                    key: request.key.into(),
                    fence,
                });
            }
            Some(Decision::Ran(answer)) => return Err(replay(&answer)),
            Some(Decision::InProgress(until)) => {
                let retry_ms = until.saturating_sub(unix_millis()).clamp(1000, 5000);
                let text = "the first request with this key is in progress: ask again later";
                Refusal::unknown(409, text).retry_after_ms(retry_ms)
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

fn replay(answer: &Answer) -> NotGranted {
    let status = u16::try_from(answer.status).ok();
    let status = status.filter(|status| is_final((*status).into()));
    let bytes = answer.bytes.as_ref().zip(status);
    let kept = bytes.and_then(|(bytes, _)| StoredAnswer::decode(bytes.as_slice()).ok());
    NotGranted::Ran {
        status: status.unwrap_or(500),
        kept,
    }
}

impl Granted {
    /// Records that the request ran, and stores its answer if it is small enough.
    pub fn settle(self, status: u16, digest: Digest, kept: Option<&StoredAnswer>) {
        let bytes = kept
            .filter(|kept| kept.encoded_len() <= MAX_STORED_ANSWER)
            .map(Message::encode_to_vec);
        let answer = Answer {
            status: status.into(),
            digest: digest.to_vec(),
            bytes,
        };
        self.commit_settlement(Some(answer));
    }

    /// Records that it is unknown whether the request ran.
    pub fn settle_unknown(self) {
        self.commit_settlement(None);
    }

    fn commit_settlement(self, answer: Option<Answer>) {
        let body = Body::Settle(Settle {
            organisation: self.organisation,
            key: self.key,
            fence: self.fence,
            answer,
        });
        // A claim that is not settled counts as unknown after its deadline, and its request never runs again.
        if let Err(error) = self.ledger.propose(body, SETTLE_TIMEOUT) {
            warn!("could not settle a claim: {error}");
        }
    }

    /// Releases the key, because the request certainly did not run.
    pub fn release(self) {
        let body = Body::Release(Release {
            organisation: self.organisation,
            key: self.key,
            fence: self.fence,
        });
        if let Err(error) = self.ledger.propose(body, SETTLE_TIMEOUT) {
            warn!("could not release a claim: {error}");
        }
    }
}
