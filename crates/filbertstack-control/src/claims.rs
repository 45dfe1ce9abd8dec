//! Claims: at most one run for each idempotency key.
//!
//! An entry commits a claim before the first byte of a request that may not be repeated goes to a
//! target. The claim's fence names the one attempt that may run it. What the state promises:
//!
//! - A key that carries its own time runs at most once, for ever: a row is only forgotten by
//!   raising the organisation's mark to the key's time, and a key at or under the mark without a
//!   row is refused as expired.
//! - A plain key runs at most once within the claim's life after its last change. Its row is never
//!   forgotten early: with no room left, new claims are refused instead.
//! - An attempt that ended without a word leaves the key unknown; no one runs it again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_core::Digest;

use crate::command::Answer;
use crate::command::Claim;
use crate::command::Release;
use crate::command::Settle;
use crate::limits::Limits;
use crate::limits::MAX_AHEAD;
use crate::limits::MAX_ANSWER;
use crate::limits::MAX_ID;
use crate::limits::MAX_LIFE;
use crate::outcome::Claimed;
use crate::outcome::Decision;
use crate::outcome::Fault;
use crate::outcome::Nothing;
use crate::outcome::Reason;

/// The first 16 bytes of the digest of organisation and key.
///
/// Two of a million keys meet with a chance of 10^-27; a whole key would cost up to 255 bytes.
pub(crate) type ClaimKey = [u8; 16];

/// The bytes of a request's digest that are kept, enough to tell two requests apart.
pub(crate) const BODY_LEN: usize = 16;

/// How far a claim has come.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Granted and not yet settled.
    Open,
    /// It ran and the caller's answer is known.
    Ran(Box<Answer>),
    /// It may have run.
    Unknown,
    /// It certainly did not run; another attempt may claim the key.
    Released,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Row {
    pub(crate) organisation: Arc<str>,
    pub(crate) body: [u8; BODY_LEN],
    pub(crate) issued: Option<u64>,
    pub(crate) entry: u64,
    pub(crate) attempt: u64,
    pub(crate) fence: u64,
    pub(crate) until: u64,
    pub(crate) life: u64,
    pub(crate) expires: u64,
    pub(crate) stage: Stage,
    /// When the kept answer was settled, as an ordinal; 0 if no answer's bytes are kept.
    pub(crate) kept: u64,
}

/// What is kept for each organisation.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Ledger {
    pub(crate) mark: u64,
    pub(crate) rows: usize,
    /// The rows that may be forgotten before they expire, the soonest to expire first.
    pub(crate) spare: BTreeSet<(u64, ClaimKey)>,
}

/// All claims.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    pub(crate) rows: BTreeMap<ClaimKey, Row>,
    pub(crate) ledgers: BTreeMap<Arc<str>, Ledger>,
    /// The last ordinal given out, as a fence or to an answer.
    pub(crate) ordinal: u64,
    expiries: BTreeSet<(u64, ClaimKey)>,
    open: BTreeSet<(u64, ClaimKey)>,
    answers: BTreeMap<u64, ClaimKey>,
    answer_bytes: usize,
}

/// Counts of the claims kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Rows of every stage.
    pub rows: usize,
    /// Rows granted and not settled.
    pub open: usize,
    /// Bytes of answers kept.
    pub answers: usize,
}

impl Claims {
    /// Counts of the claims kept.
    pub fn counts(&self) -> ClaimCounts {
        ClaimCounts {
            rows: self.rows.len(),
            open: self.open.len(),
            answers: self.answer_bytes,
        }
    }

    /// Decides a claim at the time `clock`.
    pub(crate) fn claim(&mut self, claim: &Claim, clock: u64, limits: &Limits) -> Claimed {
        let decision = match check(claim, clock) {
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
            return match known(row, claim, clock) {
                Known::Free => self.grant(key, claim, clock),
                Known::Decided(decision) => decision,
            };
        }
        if self.is_forgotten(claim) {
            return Decision::Expired(Nothing {});
        }
        match self.make_room(&claim.organisation, limits) {
            Ok(()) => self.grant(key, claim, clock),
            Err(wait) => Decision::Full(wait.since(clock)),
        }
    }

    /// Whether the key, of which no row stands, may have been forgotten.
    fn is_forgotten(&self, claim: &Claim) -> bool {
        let mark = self.ledgers.get(&*claim.organisation).map_or(0, |l| l.mark);
        claim.issued.is_some_and(|issued| issued <= mark)
    }

    /// Grants a claim, unless its request's deadline has passed.
    ///
    /// A released row is kept until the claim's deadline: up to then it holds back late copies of
    /// the claim, after it the deadline does. So a key given back takes no room for long, and in
    /// overload, when most are given back, those that ran keep theirs.
    fn grant(&mut self, key: ClaimKey, claim: &Claim, clock: u64) -> Decision {
        if claim.until < clock {
            let what = "the claim's deadline has passed, it did not run: if this repeats, set the \
                        entry's clock";
            return Decision::Refused(Reason::new(Fault::Expired, "", what));
        }
        let organisation = self.organisation(&claim.organisation);
        self.take_out(&key);
        self.ordinal += 1;
        let life = claim.life.clamp(1, MAX_LIFE);
        let until = claim.until.min(clock.saturating_add(MAX_LIFE));
        let row = Row {
            organisation,
            body: body_of(claim),
            issued: claim.issued,
            entry: claim.entry,
            attempt: claim.attempt,
            fence: self.ordinal,
            until,
            life,
            expires: clock.saturating_add(life).max(until),
            stage: Stage::Open,
            kept: 0,
        };
        self.put_in(key, row);
        Decision::Granted(self.ordinal)
    }

    /// Records the end of a claimed request; false if the claim stands under another fence.
    pub(crate) fn settle(&mut self, settle: Settle, clock: u64, limits: &Limits) -> bool {
        let key = claim_key(&settle.organisation, &settle.key);
        let Some(mut row) = self.take_fenced(&key, settle.fence) else {
            return false;
        };
        let stage = settle.answer.map_or(Stage::Unknown, |answer| {
            Stage::Ran(Box::new(bounded(answer)))
        });
        if keeps_bytes(&stage) {
            self.ordinal += 1;
            row.kept = self.ordinal;
        }
        self.close(key, row, stage, clock);
        self.trim_answers(limits);
        true
    }

    /// Gives a claim back; false if the claim stands under another fence.
    pub(crate) fn release(&mut self, release: &Release, clock: u64) -> bool {
        let key = claim_key(&release.organisation, &release.key);
        let Some(row) = self.take_fenced(&key, release.fence) else {
            return false;
        };
        self.close(key, row, Stage::Released, clock);
        true
    }

    /// Gives back an attempt's claim whether or not it was committed; false if it ended otherwise.
    ///
    /// Without the claim a released row is put in its place. The claim may still be on its way: it
    /// would be granted to nobody, and the key would be unknown though nothing ran.
    pub(crate) fn abandon(&mut self, claim: &Claim, clock: u64, limits: &Limits) -> bool {
        if check(claim, clock).is_err() {
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
                // A released row would make a key that ran and was forgotten free again.
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
        let row = self.take_fenced(&key, fence);
        row.map(|row| self.close(key, row, Stage::Released, clock))
            .is_some()
    }

    /// Makes the open claims of an entry process unknown; how many there were.
    pub(crate) fn forsake(&mut self, entry: u64, clock: u64) -> u32 {
        let of_entry = self.open.range((entry, [0; 16])..=(entry, [u8::MAX; 16]));
        let keys: Vec<_> = of_entry.map(|(_, key)| *key).collect();
        for key in &keys {
            self.lose(key, clock);
        }
        u32::try_from(keys.len()).unwrap_or(u32::MAX)
    }

    /// Forgets the rows whose time has run out. An open one becomes unknown for another life:
    /// nobody said how it ended, so it must not look as if the key were new.
    pub(crate) fn expire(&mut self, clock: u64) {
        while let Some((expires, key)) = self.expiries.first().copied() {
            if expires > clock {
                return;
            }
            if self.rows.get(&key).is_some_and(|r| r.stage == Stage::Open) {
                self.lose(&key, clock);
            } else {
                self.forget(&key);
            }
        }
    }

    fn lose(&mut self, key: &ClaimKey, clock: u64) {
        if let Some(row) = self.take_out(key) {
            self.close(*key, row, Stage::Unknown, clock);
        }
    }

    fn close(&mut self, key: ClaimKey, mut row: Row, stage: Stage, clock: u64) {
        row.expires = match stage {
            Stage::Released => row.until.max(clock).saturating_add(1),
            _ => clock.saturating_add(row.life),
        };
        row.stage = stage;
        self.put_in(key, row);
    }

    /// Makes room for one more row, or says when there may be some.
    fn make_room(&mut self, organisation: &str, limits: &Limits) -> Result<(), Room> {
        let of_org = self.ledgers.get(organisation);
        if of_org.is_some_and(|ledger| ledger.rows >= limits.org_claims) {
            self.forget_spare(organisation)?;
        }
        if self.rows.len() < limits.claims {
            return Ok(());
        }
        let most = self.ledgers.iter().max_by_key(|(_, ledger)| ledger.rows);
        let most = most.map_or_else(|| organisation.into(), |(name, _)| name.clone());
        self.forget_spare(&most)
    }

    /// Forgets the organisation's row that would expire first of those that may go early.
    fn forget_spare(&mut self, organisation: &str) -> Result<(), Room> {
        let ledger = self.ledgers.get(organisation);
        let spare = ledger.and_then(|ledger| ledger.spare.first()).copied();
        let Some((_, key)) = spare else {
            let next = self.expiries.first().map_or(0, |(expires, _)| *expires);
            return Err(Room { next });
        };
        self.forget(&key);
        Ok(())
    }

    fn forget(&mut self, key: &ClaimKey) {
        let Some(row) = self.take_out(key) else {
            return;
        };
        if row.stage == Stage::Released {
            return;
        }
        let ledger = self.ledgers.entry(row.organisation).or_default();
        ledger.mark = ledger.mark.max(row.issued.unwrap_or(0));
    }

    /// Drops the oldest answers over the limit; that they ran, and their digests, stay.
    fn trim_answers(&mut self, limits: &Limits) {
        while self.answer_bytes > limits.answers {
            let Some((_, key)) = self.answers.pop_first() else {
                return;
            };
            let Some(row) = self.rows.get_mut(&key) else {
                continue;
            };
            row.kept = 0;
            if let Stage::Ran(answer) = &mut row.stage {
                self.answer_bytes -= answer.bytes.take().map_or(0, |bytes| bytes.len());
            }
        }
    }

    fn take_fenced(&mut self, key: &ClaimKey, fence: u64) -> Option<Row> {
        let row = self.rows.get(key)?;
        let settled = matches!(row.stage, Stage::Ran(_) | Stage::Released);
        if row.fence != fence || settled {
            return None;
        }
        self.take_out(key)
    }

    /// Takes a row out of the table and of every index.
    fn take_out(&mut self, key: &ClaimKey) -> Option<Row> {
        let row = self.rows.remove(key)?;
        self.expiries.remove(&(row.expires, *key));
        self.open.remove(&(row.entry, *key));
        if self.answers.remove(&row.kept).is_some() {
            self.answer_bytes -= kept_bytes(&row.stage);
        }
        if let Some(ledger) = self.ledgers.get_mut(&row.organisation) {
            ledger.rows -= 1;
            ledger.spare.remove(&(row.expires, *key));
        }
        Some(row)
    }

    /// Puts a row into the table and every index.
    pub(crate) fn put_in(&mut self, key: ClaimKey, row: Row) {
        self.expiries.insert((row.expires, key));
        if row.stage == Stage::Open {
            self.open.insert((row.entry, key));
        }
        if row.kept > 0 {
            self.answers.insert(row.kept, key);
            self.answer_bytes += kept_bytes(&row.stage);
        }
        let ledger = self.ledgers.entry(row.organisation.clone()).or_default();
        ledger.rows += 1;
        let ended = matches!(row.stage, Stage::Ran(_) | Stage::Unknown);
        if row.issued.is_some() && ended {
            ledger.spare.insert((row.expires, key));
        }
        self.rows.insert(key, row);
    }

    /// The organisation's shared name.
    pub(crate) fn organisation(&mut self, name: &str) -> Arc<str> {
        if let Some((shared, _)) = self.ledgers.get_key_value(name) {
            return shared.clone();
        }
        let shared: Arc<str> = name.into();
        self.ledgers.insert(shared.clone(), Ledger::default());
        shared
    }
}

/// No room: the moment at which the next row expires.
struct Room {
    next: u64,
}

impl Room {
    /// The shortest wait that is told to a caller, in milliseconds.
    const LEAST_WAIT: u64 = 1000;

    fn since(&self, clock: u64) -> u64 {
        self.next.saturating_sub(clock).max(Self::LEAST_WAIT)
    }
}

enum Known {
    Free,
    Decided(Decision),
}

/// What a standing row says to a claim.
fn known(row: &Row, claim: &Claim, clock: u64) -> Known {
    let same = is_attempt(row, claim);
    // A key that was given back ran nothing, so it stands for no request yet.
    if row.stage != Stage::Released && row.body != body_of(claim) {
        return Known::Decided(Decision::BodyDiffers(Nothing {}));
    }
    Known::Decided(match &row.stage {
        // The proposer's own resend: it lost the log's answer and gets the same grant.
        Stage::Open if same => Decision::Granted(row.fence),
        Stage::Open if clock <= row.until => Decision::InProgress(row.until),
        Stage::Open | Stage::Unknown => Decision::Unknown(Nothing {}),
        Stage::Ran(answer) => Decision::Ran(answer.as_ref().clone()),
        // A late copy of the attempt that gave the key back: nobody waits for its grant.
        Stage::Released if same => Decision::InProgress(clock),
        Stage::Released => return Known::Free,
    })
}

fn is_attempt(row: &Row, claim: &Claim) -> bool {
    (row.entry, row.attempt) == (claim.entry, claim.attempt)
}

fn check(claim: &Claim, clock: u64) -> Result<(), Reason> {
    let named = |text: &str| !text.is_empty() && text.len() <= MAX_ID;
    if !named(&claim.organisation) || !named(&claim.key) {
        let what = format!("give an organisation and a key of 1 to {MAX_ID} bytes");
        return Err(Reason::malformed(what));
    }
    if claim.body.len() < BODY_LEN {
        let what = format!("the request's digest has fewer than {BODY_LEN} bytes");
        return Err(Reason::malformed(what));
    }
    if claim
        .issued
        .is_some_and(|issued| issued > clock.saturating_add(MAX_AHEAD))
    {
        let what = "the key's time lies ahead: set the caller's clock and draw a new key";
        return Err(Reason::new(Fault::FromFuture, "", what));
    }
    Ok(())
}

fn claim_key(organisation: &str, key: &str) -> ClaimKey {
    // The organisation's length in front keeps `ab` + `c` apart from `a` + `bc`.
    let text = format!("{}:{organisation}{key}", organisation.len());
    let mut short = ClaimKey::default();
    short.copy_from_slice(&Digest::of(text.as_bytes()).as_bytes()[..16]);
    short
}

fn body_of(claim: &Claim) -> [u8; BODY_LEN] {
    let mut body = [0; BODY_LEN];
    body.copy_from_slice(&claim.body[..BODY_LEN]);
    body
}

fn bounded(mut answer: Answer) -> Answer {
    answer.bytes = answer.bytes.filter(|bytes| bytes.len() <= MAX_ANSWER);
    answer
        .digest
        .truncate(filbertstack_core::digest::DIGEST_LEN);
    answer
}

fn keeps_bytes(stage: &Stage) -> bool {
    matches!(stage, Stage::Ran(answer) if answer.bytes.is_some())
}

fn kept_bytes(stage: &Stage) -> usize {
    match stage {
        Stage::Ran(answer) => answer.bytes.as_ref().map_or(0, Vec::len),
        _ => 0,
    }
}
