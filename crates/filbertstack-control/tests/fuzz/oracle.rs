//! The oracle keeps everything in plain maps and never forgets anything.

use std::collections::BTreeMap;

use filbertstack_control::command::Apply;
use filbertstack_control::command::Claim;
use filbertstack_control::outcome::Decision;
use filbertstack_control::outcome::Outcome;
use filbertstack_control::outcome::Reply;

use crate::world::LIFE_MS;

/// A change and its outcome, as the oracle judged it first.
#[derive(Clone, Debug)]
struct FirstJudgement {
    apply: Apply,
    outcome: Outcome,
}

/// The expected declarations: a revision and the values of the pools.
#[derive(Default)]
pub struct Declared {
    pub revision: u64,
    pub pools: BTreeMap<String, u8>,
    seen: BTreeMap<(String, String), FirstJudgement>,
    /// The latest time of a request without an expected revision.
    newest: u64,
}

/// The effect of a change on a pool. It removes the pool if there is no value.
pub struct Write {
    pub pool: String,
    pub value: Option<u8>,
}

impl Declared {
    /// Checks the outcome of a change and records it.
    pub fn judge(&mut self, apply: &Apply, write: &Write, got: &Outcome) -> Result<(), String> {
        let key = (apply.operator.clone(), apply.request.clone());
        if let Some(first) = self.seen.get(&key).cloned() {
            if self.judge_resend(&first, apply, write, got)? {
                return Ok(());
            }
        } else {
            self.judge_new(apply, write, got)?;
        }
        let seen = FirstJudgement {
            apply: apply.clone(),
            outcome: got.clone(),
        };
        self.seen.insert(key, seen);
        Ok(())
    }

    /// Judges a resend. Returns whether the first outcome still applies to further resends.
    fn judge_resend(
        &mut self,
        first: &FirstJudgement,
        apply: &Apply,
        write: &Write,
        got: &Outcome,
    ) -> Result<bool, String> {
        let same = (
            &first.apply.text,
            &first.apply.removals,
            first.apply.expected,
        ) == (&apply.text, &apply.removals, apply.expected);
        if same && *got == first.outcome {
            return Ok(true);
        }
        if let Some(Reply::Accepted(_)) = first.outcome.reply {
            return match got.reply {
                Some(Reply::Rejected(_) | Reply::Conflict(_)) => Ok(true),
                _ => Err(format!("a change applied twice: {apply:?} {got:?}")),
            };
        }
        // The first request changed nothing and was forgotten, so the resend is judged like a new request.
        match got.reply {
            Some(Reply::Rejected(_)) => Ok(true),
            _ => self.judge_new(apply, write, got).map(|()| false),
        }
    }

    fn judge_new(&mut self, apply: &Apply, write: &Write, got: &Outcome) -> Result<(), String> {
        let wrong = |what: &str| Err(format!("{what}: {apply:?} {got:?}"));
        let before = self.newest;
        if apply.expected.is_none() {
            self.newest = before.max(apply.issued);
        }
        let clash = apply.expected.is_some_and(|e| e != self.revision);
        match &got.reply {
            Some(Reply::Conflict(conflict)) if clash => {
                if conflict.current == self.revision {
                    return Ok(());
                }
                wrong("a conflict names another revision")
            }
            _ if clash => wrong("a change under an old revision went in"),
            Some(Reply::Accepted(accepted)) => {
                let previous = self.pools.get(&write.pool).copied();
                self.revision += u64::from(previous != write.value);
                match write.value {
                    Some(value) => self.pools.insert(write.pool.clone(), value),
                    None => self.pools.remove(&write.pool),
                };
                if accepted.revision == self.revision {
                    return Ok(());
                }
                wrong("a wrong revision")
            }
            Some(Reply::Rejected(_)) => {
                let absent = write.value.is_none() && !self.pools.contains_key(&write.pool);
                if absent || (apply.expected.is_none() && apply.issued <= before) {
                    return Ok(());
                }
                wrong("a good change was refused")
            }
            _ => wrong("no outcome of a change"),
        }
    }
}

/// The expected stage of a key's claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    Open,
    Ran,
    Unknown,
    Released,
}

/// The expected state of one key.
#[derive(Clone, Debug)]
pub struct Key {
    pub claim: Claim,
    pub fence: u64,
    pub stage: Stage,
    pub changed: u64,
    pub runs: u32,
}

/// All keys ever claimed.
#[derive(Default)]
pub struct Claims {
    pub keys: BTreeMap<String, Key>,
    fence: u64,
    newest: u64,
}

impl Claims {
    /// Checks a decision and records it. `ran` says whether the entry runs a request that is granted.
    pub fn judge(
        &mut self,
        claim: &Claim,
        got: &Decision,
        now: u64,
        ran: bool,
    ) -> Result<(), String> {
        let newest = self.newest;
        self.newest = newest.max(claim.issued.unwrap_or(0));
        let wrong = |what: &str| Err(format!("{what}: {claim:?} {got:?}"));
        let Some(key) = self.keys.get(&claim.key).cloned() else {
            return match got {
                Decision::Granted(fence) => self.grant(claim, *fence, now, ran, 0),
                Decision::Full(_) => Ok(()),
                Decision::Refused(_) if now > claim.until => Ok(()),
                Decision::Expired(_) if claim.issued.is_some_and(|i| i <= newest) => Ok(()),
                _ => wrong("a new key was not granted"),
            };
        };
        let same = (key.claim.entry, key.claim.attempt) == (claim.entry, claim.attempt);
        let body = key.claim.body == claim.body;
        let gone = now >= key.changed + LIFE_MS && key.stage != Stage::Open;
        let late = now > key.claim.until;
        match got {
            Decision::Granted(fence) if same && key.stage == Stage::Open => {
                if *fence == key.fence {
                    return Ok(());
                }
                wrong("a resent claim got another fence")
            }
            Decision::Granted(fence) => {
                let plain = claim.issued.is_none() && gone;
                let free = key.stage == Stage::Released && !same;
                if !plain && !free {
                    return wrong("a key was granted twice");
                }
                let runs = if plain { 0 } else { key.runs };
                self.grant(claim, *fence, now, ran, runs)
            }
            Decision::InProgress(_) if body && key.stage == Stage::Open && !late => Ok(()),
            Decision::InProgress(_) if same && key.stage == Stage::Released => Ok(()),
            Decision::Unknown(_) if body && key.stage == Stage::Unknown => Ok(()),
            Decision::Unknown(_) if body && key.stage == Stage::Open && late => Ok(()),
            Decision::Ran(_) if body && key.stage == Stage::Ran => Ok(()),
            Decision::BodyDiffers(_) if !body => Ok(()),
            Decision::Expired(_) if claim.issued.is_some() => Ok(()),
            Decision::Full(_) if gone || key.stage == Stage::Released => Ok(()),
            Decision::Refused(_) if now > claim.until && (gone || key.stage == Stage::Released) => {
                Ok(())
            }
            _ => wrong("a wrong decision"),
        }
    }

    fn grant(
        &mut self,
        claim: &Claim,
        fence: u64,
        now: u64,
        ran: bool,
        runs: u32,
    ) -> Result<(), String> {
        if fence <= self.fence {
            return Err(format!("a fence went back: {fence} after {}", self.fence));
        }
        self.fence = fence;
        let runs = runs + u32::from(ran);
        let key = Key {
            claim: claim.clone(),
            fence,
            stage: Stage::Open,
            changed: now,
            runs,
        };
        self.keys.insert(claim.key.clone(), key);
        if runs > 1 {
            return Err(format!("a key ran twice: {claim:?}"));
        }
        Ok(())
    }

    /// Marks the open claims whose life has run out as unknown.
    pub fn tick(&mut self, now: u64) {
        for key in self.keys.values_mut() {
            if key.stage == Stage::Open && now >= (key.changed + LIFE_MS).max(key.claim.until) {
                key.stage = Stage::Unknown;
                key.changed = now;
            }
        }
    }
}
