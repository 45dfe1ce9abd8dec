//! Claims ensure that the request of an idempotency key runs at most once.
//!
//! An entry commits a claim before it sends the first byte of a request that must not be repeated to a
//! target. The claim's fence identifies the one attempt that may run the request. The state guarantees:
//!
//! - A request whose key contains its own time runs at most once, without a time limit. A row is only
//!   forgotten by raising the organisation's `forgotten_until` to the key's time, and a key without a row
//!   whose time is at or before `forgotten_until` is refused as expired.
//! - A request with a plain key runs at most once within the claim's life after its last change. Its row
//!   is never forgotten early: if no room is left, new claims are refused instead.
//! - An attempt that ended without reporting a result leaves the key unknown, and its request is never
//!   run again under this key.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_core::Digest;

use crate::command::Answer;
use crate::command::Claim;
use crate::command::Release;
use crate::command::Settle;
use crate::limits::Limits;
use crate::limits::MAX_ANSWER;
use crate::limits::MAX_CLAIM_LIFE_MS;
use crate::limits::MAX_CLOCK_AHEAD_MS;
use crate::limits::MAX_ID;
use crate::outcome::Claimed;
use crate::outcome::Decision;
use crate::outcome::Fault;
use crate::outcome::Nothing;
use crate::outcome::Reason;

/// The first 16 bytes of the digest of organisation and key.
///
/// Among a million keys the chance of a collision is 10^-27. A whole key would take up to 255 bytes.
pub(crate) type ClaimKey = [u8; 16];

/// The number of bytes kept of a request's digest, enough to distinguish two requests.
pub(crate) const BODY_LEN: usize = 16;

/// The stage of a claim.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// The claim was granted and is not settled.
    Open,
    /// The request ran, and the caller's answer is known.
    Ran(Box<Answer>),
    /// The request may have run.
    Unknown,
    /// The request certainly did not run, and another attempt may claim the key.
    Released,
}

/// The claim of one key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Row {
    pub(crate) organisation: Arc<str>,
    pub(crate) body: [u8; BODY_LEN],
    pub(crate) issued: Option<u64>,
    pub(crate) entry: u64,
    pub(crate) attempt: u64,
    pub(crate) fence: u64,
    /// When an open claim counts as unknown, in Unix milliseconds.
    pub(crate) until: u64,
    /// How long the row is kept after its last change, in milliseconds.
    pub(crate) life: u64,
    /// When the row expires, in Unix milliseconds.
    pub(crate) expires: u64,
    pub(crate) stage: Stage,
    /// The ordinal of the settlement that brought the kept answer, or 0 if the row keeps no answer bytes.
    pub(crate) answer_ordinal: u64,
}

/// The summary of one organisation's claims.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Ledger {
    /// The latest time of a forgotten key, in Unix milliseconds. A key with a time at or before it may
    /// have been forgotten.
    pub(crate) forgotten_until: u64,
    /// The number of rows.
    pub(crate) rows: usize,
    /// The rows that may be forgotten before they expire, by their time of expiry.
    pub(crate) evictable: BTreeSet<(u64, ClaimKey)>,
}

/// All claims.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    pub(crate) rows: BTreeMap<ClaimKey, Row>,
    pub(crate) ledgers: BTreeMap<Arc<str>, Ledger>,
    /// The last ordinal assigned, to a claim as its fence or to an answer.
    pub(crate) ordinal: u64,
    /// All rows by their time of expiry.
    expiries: BTreeSet<(u64, ClaimKey)>,
    /// The open rows by entry process.
    open: BTreeSet<(u64, ClaimKey)>,
    /// The rows with kept answers, by the ordinals of the answers.
    answers: BTreeMap<u64, ClaimKey>,
    answer_bytes: usize,
}

/// Counts of the claims kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// The number of rows of all stages.
    pub rows: usize,
    /// The number of rows that are granted and not settled.
    pub open: usize,
    /// The total size of the kept answers in bytes.
    pub answer_bytes: usize,
}

impl Claims {
    /// Returns counts of the claims kept.
    pub fn counts(&self) -> ClaimCounts {
        ClaimCounts {
            rows: self.rows.len(),
            open: self.open.len(),
            answer_bytes: self.answer_bytes,
        }
    }

    /// Decides on a claim at the time `clock`.
    pub(crate) fn claim(&mut self, claim: &Claim, clock: u64, limits: &Limits) -> Claimed {
        let decision = match validate(claim, clock) {
            Ok(()) => self.decide(claim, clock, limits),
            Err(reason) => Decision::Refused(reason),
        };
        Claimed {
            decision: Some(decision),
        }
    }

    fn decide(&mut self, claim: &Claim, clock: u64, limits: &Limits) -> Decision {
        let key = claim_key(&claim.organisation, &claim.key);
        if let Some(row) = self.rows.get(&key) {
            return match key_state(row, claim, clock) {
                KeyState::Free => self.grant(key, claim, clock),
                KeyState::Decided(decision) => decision,
            };
        }
        if self.is_forgotten(claim) {
            return Decision::Expired(Nothing {});
        }
        match self.make_room(&claim.organisation, limits) {
            Ok(()) => self.grant(key, claim, clock),
            Err(no_room) => Decision::Full(no_room.wait_ms(clock)),
        }
    }

    /// Returns whether a key that has no row may have been forgotten.
    fn is_forgotten(&self, claim: &Claim) -> bool {
        let forgotten_until = self
            .ledgers
            .get(&*claim.organisation)
            .map_or(0, |l| l.forgotten_until);
        claim.issued.is_some_and(|issued| issued <= forgotten_until)
    }

    /// Grants a claim, unless its request's deadline has passed.
    ///
    /// A released row is kept until the claim's deadline. Until then the row refuses late copies of the
    /// claim; afterwards the deadline does. So a released key does not take room for long, and in overload,
    /// when most keys are released, the keys whose requests ran keep their rows.
    fn grant(&mut self, key: ClaimKey, claim: &Claim, clock: u64) -> Decision {
        if claim.until < clock {
            let what = "the claim's deadline has passed, it did not run: if this repeats, set the \
                        entry's clock";
            return Decision::Refused(Reason::new(Fault::Expired, "", what));
        }
        let organisation = self.shared_name(&claim.organisation);
        self.remove_row(&key);
        self.ordinal += 1;
        let life = claim.life.clamp(1, MAX_CLAIM_LIFE_MS);
        let until = claim.until.min(clock.saturating_add(MAX_CLAIM_LIFE_MS));
        let row = Row {
            organisation,
            body: body_prefix(claim),
            issued: claim.issued,
            entry: claim.entry,
            attempt: claim.attempt,
            fence: self.ordinal,
            until,
            life,
            expires: clock.saturating_add(life).max(until),
            stage: Stage::Open,
            answer_ordinal: 0,
        };
        self.insert_row(key, row);
        Decision::Granted(self.ordinal)
    }

    /// Records the end of a claimed request. Returns false if the claim has another fence or has ended.
    pub(crate) fn settle(&mut self, settle: Settle, clock: u64, limits: &Limits) -> bool {
        let key = claim_key(&settle.organisation, &settle.key);
        let Some(mut row) = self.remove_fenced(&key, settle.fence) else {
            return false;
        };
        let stage = settle.answer.map_or(Stage::Unknown, |answer| {
            Stage::Ran(Box::new(limit_size(answer)))
        });
        if has_bytes(&stage) {
            self.ordinal += 1;
            row.answer_ordinal = self.ordinal;
        }
        self.close(key, row, stage, clock);
        self.trim_answers(limits);
        true
    }

    /// Releases a claim. Returns false if the claim has another fence or has ended.
    pub(crate) fn release(&mut self, release: &Release, clock: u64) -> bool {
        let key = claim_key(&release.organisation, &release.key);
        let Some(row) = self.remove_fenced(&key, release.fence) else {
            return false;
        };
        self.close(key, row, Stage::Released, clock);
        true
    }

    /// Releases an attempt's claim whether or not it was committed. Returns false if the claim ended in
    /// another way.
    ///
    /// If there is no claim, this inserts a released row, because the claim may still arrive later. Without
    /// the row it would be granted although nobody waits for it, and the key would become unknown although
    /// nothing ran.
    pub(crate) fn abandon(&mut self, claim: &Claim, clock: u64, limits: &Limits) -> bool {
        if validate(claim, clock).is_err() {
            return false;
        }
        let key = claim_key(&claim.organisation, &claim.key);
        let known = self
            .rows
            .get(&key)
            .map(|row| (row.fence, is_attempt(row, claim)));
        let fence = match known {
            Some((fence, true)) => fence,
            Some((_, false)) => return false,
            None => {
                // A released row would free a key whose request ran and whose row was forgotten.
                let forgotten = self.is_forgotten(claim);
                if forgotten || self.make_room(&claim.organisation, limits).is_err() {
                    return false;
                }
                match self.grant(key, claim, clock) {
                    Decision::Granted(fence) => fence,
                    _ => return false,
                }
            }
        };
        let row = self.remove_fenced(&key, fence);
        row.map(|row| self.close(key, row, Stage::Released, clock))
            .is_some()
    }

    /// Marks the open claims of an entry process as unknown. Returns their number.
    pub(crate) fn mark_entry_unknown(&mut self, entry: u64, clock: u64) -> u32 {
        let of_entry = self.open.range((entry, [0; 16])..=(entry, [u8::MAX; 16]));
        let keys: Vec<_> = of_entry.map(|(_, key)| *key).collect();
        for key in &keys {
            self.mark_unknown(key, clock);
        }
        u32::try_from(keys.len()).unwrap_or(u32::MAX)
    }

    /// Forgets the rows that have expired. An open row becomes unknown for another life: nothing is known
    /// about how its request ended, so the key must not look new.
    pub(crate) fn expire(&mut self, clock: u64) {
        while let Some((expires, key)) = self.expiries.first().copied() {
            if expires > clock {
                return;
            }
            if self.rows.get(&key).is_some_and(|r| r.stage == Stage::Open) {
                self.mark_unknown(&key, clock);
            } else {
                self.forget(&key);
            }
        }
    }

    /// Closes the claim of a key as unknown.
    fn mark_unknown(&mut self, key: &ClaimKey, clock: u64) {
        if let Some(row) = self.remove_row(key) {
            self.close(*key, row, Stage::Unknown, clock);
        }
    }

    /// Inserts a row again that was removed, with its last stage and its time of expiry.
    fn close(&mut self, key: ClaimKey, mut row: Row, stage: Stage, clock: u64) {
        row.expires = match stage {
            Stage::Released => row.until.max(clock).saturating_add(1),
            _ => clock.saturating_add(row.life),
        };
        row.stage = stage;
        self.insert_row(key, row);
    }

    /// Makes room for one more row, or returns when there may be room.
    fn make_room(&mut self, organisation: &str, limits: &Limits) -> Result<(), NoRoom> {
        let ledger = self.ledgers.get(organisation);
        if ledger.is_some_and(|ledger| ledger.rows >= limits.org_claims) {
            self.evict(organisation)?;
        }
        if self.rows.len() < limits.claims {
            return Ok(());
        }
        let largest = self.ledgers.iter().max_by_key(|(_, ledger)| ledger.rows);
        let largest = largest.map_or_else(|| organisation.into(), |(name, _)| name.clone());
        self.evict(&largest)
    }

    /// Forgets the organisation's evictable row that would expire first.
    fn evict(&mut self, organisation: &str) -> Result<(), NoRoom> {
        let ledger = self.ledgers.get(organisation);
        let evictable = ledger.and_then(|ledger| ledger.evictable.first()).copied();
        let Some((_, key)) = evictable else {
            let next_expiry = self.expiries.first().map_or(0, |(expires, _)| *expires);
            return Err(NoRoom { next_expiry });
        };
        self.forget(&key);
        Ok(())
    }

    /// Removes a row. Unless the claim was released, this raises the organisation's `forgotten_until` to the
    /// time of the key.
    fn forget(&mut self, key: &ClaimKey) {
        let Some(row) = self.remove_row(key) else {
            return;
        };
        if row.stage == Stage::Released {
            return;
        }
        let ledger = self.ledgers.entry(row.organisation).or_default();
        ledger.forgotten_until = ledger.forgotten_until.max(row.issued.unwrap_or(0));
    }

    /// Drops the bytes of the oldest answers until the rest is within the limit. Their rows keep the
    /// status and the digest.
    fn trim_answers(&mut self, limits: &Limits) {
        while self.answer_bytes > limits.answer_bytes {
            let Some((_, key)) = self.answers.pop_first() else {
                return;
            };
            let Some(row) = self.rows.get_mut(&key) else {
                continue;
            };
            row.answer_ordinal = 0;
            if let Stage::Ran(answer) = &mut row.stage {
                self.answer_bytes -= answer.bytes.take().map_or(0, |bytes| bytes.len());
            }
        }
    }

    /// Removes the row of a claim that is open or unknown under `fence`.
    fn remove_fenced(&mut self, key: &ClaimKey, fence: u64) -> Option<Row> {
        let row = self.rows.get(key)?;
        let settled = matches!(row.stage, Stage::Ran(_) | Stage::Released);
        if row.fence != fence || settled {
            return None;
        }
        self.remove_row(key)
    }

    /// Removes a row from the table and from every index.
    fn remove_row(&mut self, key: &ClaimKey) -> Option<Row> {
        let row = self.rows.remove(key)?;
        self.expiries.remove(&(row.expires, *key));
        self.open.remove(&(row.entry, *key));
        if self.answers.remove(&row.answer_ordinal).is_some() {
            self.answer_bytes -= answer_len(&row.stage);
        }
        if let Some(ledger) = self.ledgers.get_mut(&row.organisation) {
            ledger.rows -= 1;
            ledger.evictable.remove(&(row.expires, *key));
        }
        Some(row)
    }

    /// Inserts a row into the table and into every index.
    pub(crate) fn insert_row(&mut self, key: ClaimKey, row: Row) {
        self.expiries.insert((row.expires, key));
        if row.stage == Stage::Open {
            self.open.insert((row.entry, key));
        }
        if row.answer_ordinal > 0 {
            self.answers.insert(row.answer_ordinal, key);
            self.answer_bytes += answer_len(&row.stage);
        }
        let ledger = self.ledgers.entry(row.organisation.clone()).or_default();
        ledger.rows += 1;
        let ended = matches!(row.stage, Stage::Ran(_) | Stage::Unknown);
        if row.issued.is_some() && ended {
            ledger.evictable.insert((row.expires, key));
        }
        self.rows.insert(key, row);
    }

    /// Returns the name of an organisation as it is shared by its rows, and adds its ledger if it has none.
    pub(crate) fn shared_name(&mut self, name: &str) -> Arc<str> {
        if let Some((shared, _)) = self.ledgers.get_key_value(name) {
            return shared.clone();
        }
        let shared: Arc<str> = name.into();
        self.ledgers.insert(shared.clone(), Ledger::default());
        shared
    }
}

/// There is no room for another claim.
struct NoRoom {
    /// When the next row expires, in Unix milliseconds.
    next_expiry: u64,
}

impl NoRoom {
    /// The shortest wait that a caller is asked for.
    const MIN_WAIT_MS: u64 = 1000;

    /// Returns how long a caller should wait, in milliseconds.
    fn wait_ms(&self, clock: u64) -> u64 {
        self.next_expiry
            .saturating_sub(clock)
            .max(Self::MIN_WAIT_MS)
    }
}

/// The state of a key that has a row.
enum KeyState {
    /// The key may be claimed again.
    Free,
    /// The row determines the decision.
    Decided(Decision),
}

/// Returns the state of a key for a claim, by the key's row.
fn key_state(row: &Row, claim: &Claim, clock: u64) -> KeyState {
    let same_attempt = is_attempt(row, claim);
    // No request ran under a released key, so the key does not belong to a request yet.
    if row.stage != Stage::Released && row.body != body_prefix(claim) {
        return KeyState::Decided(Decision::BodyDiffers(Nothing {}));
    }
    KeyState::Decided(match &row.stage {
        // The proposer did not get the outcome and sends the claim again: it gets the same grant.
        Stage::Open if same_attempt => Decision::Granted(row.fence),
        Stage::Open if clock <= row.until => Decision::InProgress(row.until),
        Stage::Open | Stage::Unknown => Decision::Unknown(Nothing {}),
        Stage::Ran(answer) => Decision::Ran(answer.as_ref().clone()),
        // This is a late copy of the released claim: nobody waits for its grant.
        Stage::Released if same_attempt => Decision::InProgress(clock),
        Stage::Released => return KeyState::Free,
    })
}

fn is_attempt(row: &Row, claim: &Claim) -> bool {
    (row.entry, row.attempt) == (claim.entry, claim.attempt)
}

fn validate(claim: &Claim, clock: u64) -> Result<(), Reason> {
    let valid_len = |text: &str| !text.is_empty() && text.len() <= MAX_ID;
    if !valid_len(&claim.organisation) || !valid_len(&claim.key) {
        let what = format!("give an organisation and a key of 1 to {MAX_ID} bytes");
        return Err(Reason::malformed(what));
    }
    if claim.body.len() < BODY_LEN {
        let what = format!("the request's digest has fewer than {BODY_LEN} bytes");
        return Err(Reason::malformed(what));
    }
    if claim
        .issued
        .is_some_and(|issued| issued > clock.saturating_add(MAX_CLOCK_AHEAD_MS))
    {
        let what = "the key's time lies ahead: set the caller's clock and draw a new key";
        return Err(Reason::new(Fault::FromFuture, "", what));
    }
    Ok(())
}

fn claim_key(organisation: &str, key: &str) -> ClaimKey {
    // The length of the organisation distinguishes `ab` + `c` from `a` + `bc`.
    let text = format!("{}:{organisation}{key}", organisation.len());
    let mut prefix = ClaimKey::default();
    prefix.copy_from_slice(&Digest::of(text.as_bytes()).as_bytes()[..16]);
    prefix
}

fn body_prefix(claim: &Claim) -> [u8; BODY_LEN] {
    let mut body = [0; BODY_LEN];
    body.copy_from_slice(&claim.body[..BODY_LEN]);
    body
}

/// Drops the bytes of an answer longer than [`MAX_ANSWER`], and cuts a digest that is too long.
fn limit_size(mut answer: Answer) -> Answer {
    answer.bytes = answer.bytes.filter(|bytes| bytes.len() <= MAX_ANSWER);
    answer
        .digest
        .truncate(filbertstack_core::digest::DIGEST_LEN);
    answer
}

fn has_bytes(stage: &Stage) -> bool {
    matches!(stage, Stage::Ran(answer) if answer.bytes.is_some())
}

fn answer_len(stage: &Stage) -> usize {
    match stage {
        Stage::Ran(answer) => answer.bytes.as_ref().map_or(0, Vec::len),
        _ => 0,
    }
}
