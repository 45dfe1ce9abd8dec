//! The world of a case has two replicas, the callers and operators that use them, and the oracle.

use std::collections::BTreeMap;

use filbertstack_control::ControlState;
use filbertstack_control::Limits;
use filbertstack_control::command::Answer;
use filbertstack_control::command::Apply;
use filbertstack_control::command::Batch;
use filbertstack_control::command::Body;
use filbertstack_control::command::Claim;
use filbertstack_control::command::Command;
use filbertstack_control::command::Desired;
use filbertstack_control::command::Hold;
use filbertstack_control::command::Kind;
use filbertstack_control::command::Lead;
use filbertstack_control::command::MarkUnknown;
use filbertstack_control::command::Object;
use filbertstack_control::command::Orders;
use filbertstack_control::command::Release;
use filbertstack_control::command::Renew;
use filbertstack_control::command::Settle;
use filbertstack_control::orders::Fence;
use filbertstack_control::outcome::Decision;
use filbertstack_control::outcome::Outcome;
use filbertstack_control::outcome::Reply;
use filbertstack_control::view::Follower;

use crate::oracle::Claims;
use crate::oracle::Declared;
use crate::oracle::Stage;
use crate::oracle::Write;
use crate::plan::Expect;
use crate::plan::Op;

const START_MS: u64 = 1_700_000_000_000;
pub const LIFE_MS: u64 = 30_000;
const DEADLINE_MS: u64 = 5_000;

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flaw {
    None,
    /// The client gives every resend a new time.
    RestampedResend,
    /// The client draws a new identifier for every resend.
    NewIdentifier,
    /// The entry drops the operator's expected revision.
    DroppedRevision,
    /// A restart does not replay the log after the snapshot.
    LostTail,
    /// The entry sends the time of its own clock instead of the key's time.
    RestampedKey,
    /// An entry releases a claim whose request may have run.
    ReleasedUnknown,
    /// A voter sends followers a delta that lacks written objects.
    ShortDelta,
}

impl Flaw {
    /// The flaws, each with the message by which the oracle reports it.
    pub const ALL: [(Self, &str); 7] = [
        (Self::RestampedResend, "a change applied twice"),
        (Self::NewIdentifier, "a change applied twice"),
        (Self::DroppedRevision, "under an old revision went in"),
        (Self::LostTail, "replicas differ"),
        (Self::RestampedKey, "a key was granted twice"),
        (Self::ReleasedUnknown, "a key ran twice"),
        (Self::ShortDelta, "a follower differs"),
    ];
}

/// The world of a case.
pub struct World {
    flaw: Flaw,
    /// The true time in Unix milliseconds. A leader's clock may be behind it by `skew`.
    true_time: u64,
    skew: u64,
    /// The expected value of the state's clock.
    clock: u64,
    log: Vec<Vec<u8>>,
    snapshots: Vec<(usize, Vec<u8>)>,
    state: ControlState,
    replica: ControlState,
    followers: [Follower; 3],
    declared: Declared,
    claims: Claims,
    sent: Vec<Apply>,
    claimed: Vec<Claim>,
    granted: Vec<(Claim, u64)>,
    attempts: u64,
    term: u64,
    fence: Fence,
    /// How often each outcome occurred.
    pub tally: BTreeMap<String, u32>,
}

impl World {
    pub fn new(flaw: Flaw) -> Self {
        let limits = Limits {
            requests: 6,
            request_age_ms: 60_000,
            claims: 12,
            org_claims: 8,
            answer_bytes: 40,
        };
        let mut state = ControlState::with_limits(limits);
        let lead = Lead {
            term: 1,
            leader: "van-1".into(),
        };
        let first = Command::new(START_MS, Body::Lead(lead)).to_bytes();
        state.apply(1, &first);
        Self {
            flaw,
            true_time: START_MS,
            skew: 0,
            clock: START_MS,
            log: vec![first],
            snapshots: vec![(1, state.snapshot())],
            replica: state.clone(),
            state,
            followers: Default::default(),
            declared: Declared::default(),
            claims: Claims::default(),
            sent: Vec::new(),
            claimed: Vec::new(),
            granted: Vec::new(),
            attempts: 0,
            term: 1,
            fence: Fence::default(),
            tally: BTreeMap::new(),
        }
    }

    pub fn step(&mut self, op: &Op) -> Result<(), String> {
        match op {
            Op::Tick(span) => {
                self.true_time += span;
                Ok(())
            }
            Op::Apply {
                operator,
                expect,
                pool,
                value,
                remove,
            } => {
                let apply = self.new_apply(*operator, *expect, *pool, *value, *remove);
                self.sent.push(apply.clone());
                self.submit(&apply)
            }
            Op::Resend(pick) => self.resend(*pick),
            Op::Reuse(pick) => self.reuse(*pick),
            Op::Claim {
                pick,
                fresh,
                stamped,
                body,
                ran,
            } => self.claim_twice(*pick, *fresh, *stamped, *body, *ran),
            Op::Reclaim(pick) => self.reclaim(*pick),
            Op::Settle(pick) => self.settle(*pick),
            Op::LateSettle(pick) => self.settle_late(*pick),
            Op::Skew(span) => {
                self.skew = *span;
                Ok(())
            }
            Op::Release(pick) => self.release(*pick),
            Op::MarkUnknown(entry) => self.mark_unknown(u64::from(*entry)),
            Op::Lead => self.change_leader(),
            Op::Order {
                target,
                value,
                stale,
            } => self.order(*target, *value, *stale),
            Op::Renew(target) => self.renew(*target),
            Op::Restart(pick) => self.restart(*pick),
            Op::Pull(pick) => self.pull(usize::from(*pick)),
        }
    }

    /// Commits a command on both replicas.
    fn commit(&mut self, body: Body) -> Result<Outcome, String> {
        let stamp = self.true_time.saturating_sub(self.skew);
        self.clock = self.clock.max(stamp);
        let bytes = Command::new(stamp, body).to_bytes();
        self.log.push(bytes.clone());
        let index = self.log.len() as u64;
        self.claims.tick(self.clock);
        let outcome = self.state.apply(index, &bytes);
        let other = self.replica.apply(index, &bytes);
        if outcome != other || self.state.snapshot() != self.replica.snapshot() {
            return Err(format!("replicas differ: {outcome:?} {other:?}"));
        }
        if self.state.clock() != self.clock {
            return Err(format!("the clock went back to {}", self.state.clock()));
        }
        self.snapshots.push((self.log.len(), self.state.snapshot()));
        self.check_declared()?;
        Ok(outcome)
    }

    fn check_declared(&self) -> Result<(), String> {
        let standing = &self.state.declared().current().pools;
        let values = standing.iter().map(|(name, pool)| {
            let value = pool.labels.get("v").and_then(|v| v.parse().ok());
            (name.to_string(), value.unwrap_or(u8::MAX))
        });
        // The oracle judges a change right after its commit. Until then the oracle is one revision behind.
        let behind = self.state.declared().revision() != self.declared.revision;
        if behind || values.eq(self.declared.pools.clone()) {
            return Ok(());
        }
        Err(format!("declared differs: {standing:?}"))
    }

    fn tally_outcome(&mut self, what: &impl std::fmt::Debug) {
        let text = format!("{what:?}");
        let name = text.trim_start_matches("Some(").split('(').next();
        *self
            .tally
            .entry(name.unwrap_or_default().into())
            .or_default() += 1;
    }

    fn new_apply(&self, operator: u8, expect: Expect, pool: u8, value: u8, remove: bool) -> Apply {
        let expected = match expect {
            Expect::Current => Some(self.declared.revision),
            Expect::Behind(by) => Some(self.declared.revision.saturating_sub(u64::from(by))),
            Expect::Any => None,
        };
        let name = format!("p{pool}");
        let (text, removals) = if remove {
            (String::new(), vec![Object::new(Kind::Pool, &name)])
        } else {
            let text = format!("[pool {name}]\nlabels = v={value}\ninstances = role=llm\n");
            (text, Vec::new())
        };
        Apply {
            request: format!("r{}", self.sent.len()),
            operator: format!("op{operator}"),
            expected,
            issued: self.clock,
            text,
            removals,
        }
    }

    /// Submits a change. The oracle judges the change that the operator meant, without the flaw.
    fn submit(&mut self, apply: &Apply) -> Result<(), String> {
        let mut given = apply.clone();
        if self.flaw == Flaw::DroppedRevision {
            given.expected = None;
        }
        let outcome = self.commit(Body::Apply(given))?;
        self.tally_outcome(&outcome.reply);
        self.declared.judge(apply, &write_of(apply), &outcome)?;
        self.check_declared()
    }

    fn resend(&mut self, pick: u8) -> Result<(), String> {
        let Some(meant) = nth_latest(&self.sent, pick).cloned() else {
            return Ok(());
        };
        let mut given = meant.clone();
        match self.flaw {
            Flaw::RestampedResend => given.issued = self.clock,
            Flaw::NewIdentifier => given.request = format!("again{}", self.log.len()),
            Flaw::DroppedRevision => given.expected = None,
            _ => {}
        }
        let outcome = self.commit(Body::Apply(given))?;
        self.declared.judge(&meant, &write_of(&meant), &outcome)?;
        self.check_declared()
    }

    fn reuse(&mut self, pick: u8) -> Result<(), String> {
        let Some(mut other) = nth_latest(&self.sent, pick).cloned() else {
            return Ok(());
        };
        other.text = "[pool p9]\nlabels = v=9\ninstances = role=llm\n".into();
        other.removals = Vec::new();
        let known = self.state.snapshot();
        let outcome = self.commit(Body::Apply(other.clone()))?;
        // Once its first use is forgotten, the identifier counts as new.
        let refused = matches!(outcome.reply, Some(Reply::Rejected(_) | Reply::Conflict(_)));
        if refused {
            return self.check_declared();
        }
        let fresh = !String::from_utf8_lossy(&known).contains(&other.request);
        if !fresh && self.sent.len() < 7 {
            return Err(format!("an identifier was reused: {outcome:?}"));
        }
        let write = write_of(&other);
        other.request = format!("reused{}", self.log.len());
        self.declared.judge(&other, &write, &outcome)?;
        self.check_declared()
    }

    fn claim_twice(
        &mut self,
        pick: u8,
        fresh: bool,
        stamped: bool,
        body: u8,
        ran: bool,
    ) -> Result<(), String> {
        let known = nth_latest(&self.claimed, pick).filter(|_| !fresh);
        let known = known.map(|claim| (claim.key.clone(), claim.issued));
        let (key, issued) = known.unwrap_or_else(|| {
            let key = format!("k{}", self.claimed.len());
            (key, stamped.then_some(self.clock))
        });
        let claims = [0, 1].map(|entry| self.new_claim(entry, &key, issued, body));
        self.claimed.push(claims[0].clone());
        self.submit_claims(&claims, ran)
    }

    fn new_claim(&mut self, entry: u64, key: &str, issued: Option<u64>, body: u8) -> Claim {
        self.attempts += 1;
        Claim {
            organisation: "prairie".into(),
            key: key.into(),
            issued,
            body: vec![body; 32],
            entry,
            attempt: self.attempts,
            until: self.clock + DEADLINE_MS,
            life: LIFE_MS,
        }
    }

    fn submit_claims(&mut self, claims: &[Claim], ran: bool) -> Result<(), String> {
        let commands = claims.iter().map(|claim| {
            let mut given = claim.clone();
            if self.flaw == Flaw::RestampedKey {
                given.issued = given.issued.map(|_| self.clock);
            }
            Command::new(self.clock, Body::Claim(given))
        });
        let commands = commands.collect();
        let outcome = self.commit(Body::Batch(Batch { commands }))?;
        let Some(Reply::Batch(outcomes)) = outcome.reply else {
            return Err(format!("no outcome of a batch: {outcome:?}"));
        };
        for (claim, outcome) in claims.iter().zip(outcomes.outcomes) {
            let Some(Reply::Claimed(claimed)) = outcome.reply else {
                return Err(format!("no outcome of a claim: {outcome:?}"));
            };
            let decision = claimed.decision.ok_or("no decision")?;
            self.tally_outcome(&decision);
            if let Decision::Granted(fence) = decision {
                self.granted.push((claim.clone(), fence));
            }
            self.claims.judge(claim, &decision, self.clock, ran)?;
        }
        Ok(())
    }

    fn reclaim(&mut self, pick: u8) -> Result<(), String> {
        let Some(claim) = nth_latest(&self.claimed, pick).cloned() else {
            return Ok(());
        };
        self.submit_claims(&[claim], false)
    }

    /// Returns the claim that holds a key, with its fence, if the claim may still be settled or released.
    fn holder(&self, pick: u8) -> Option<(Claim, u64)> {
        let claim = nth_latest(&self.claimed, pick)?;
        let key = self.claims.keys.get(&claim.key)?;
        let speaks = matches!(key.stage, Stage::Open | Stage::Unknown);
        speaks.then(|| (key.claim.clone(), key.fence))
    }

    fn settle(&mut self, pick: u8) -> Result<(), String> {
        let Some((claim, fence)) = self.holder(pick) else {
            return Ok(());
        };
        let key = claim.key.clone();
        let answer = Answer {
            status: 200,
            digest: vec![1; 32],
            bytes: Some(vec![2; 16]),
        };
        let settle = Settle {
            organisation: claim.organisation,
            key: claim.key,
            fence,
            answer: Some(answer),
        };
        let outcome = self.commit(Body::Settle(settle))?;
        self.close(&key, Stage::Ran, &outcome)
    }

    /// Releases a claim of an earlier attempt after another attempt got the key.
    fn settle_late(&mut self, pick: u8) -> Result<(), String> {
        let Some((claim, fence)) = nth_latest(&self.granted, pick).cloned() else {
            return Ok(());
        };
        // Another attempt, whose claim never arrived, is abandoned.
        let other = self.new_claim(1, &claim.key, claim.issued, 0);
        self.commit(Body::Abandon(other))?;
        let key = &self.claims.keys[&claim.key];
        if key.fence == fence {
            return Ok(());
        }
        let outcome = self.commit(Body::Release(Release {
            organisation: claim.organisation,
            key: claim.key,
            fence,
        }))?;
        match outcome.reply {
            Some(Reply::Stale(_)) => Ok(()),
            other => Err(format!("an old attempt spoke for a key: {other:?}")),
        }
    }

    /// Releases a claim, but only one whose request did not run.
    fn release(&mut self, pick: u8) -> Result<(), String> {
        let Some((claim, fence)) = self.holder(pick) else {
            return Ok(());
        };
        let ran = self.claims.keys[&claim.key].runs > 0;
        if ran && self.flaw != Flaw::ReleasedUnknown {
            return Ok(());
        }
        let key = claim.key.clone();
        let release = Release {
            organisation: claim.organisation.clone(),
            key: claim.key.clone(),
            fence,
        };
        // Half of the entries did not get the outcome of their claim, so they do not know the fence.
        let body = match fence % 2 {
            0 => Body::Release(release),
            _ => Body::Abandon(claim),
        };
        let outcome = self.commit(body)?;
        self.close(&key, Stage::Released, &outcome)
    }

    fn close(&mut self, key: &str, stage: Stage, outcome: &Outcome) -> Result<(), String> {
        let now = self.clock;
        let row = self.claims.keys.get_mut(key).ok_or("no such key")?;
        match &outcome.reply {
            Some(Reply::Done(done)) if done.changed => {
                row.stage = stage;
                row.changed = now;
                Ok(())
            }
            // The row was forgotten, which can happen only to an unknown claim.
            Some(Reply::Stale(_) | Reply::Done(_)) if row.stage == Stage::Unknown => Ok(()),
            _ => Err(format!("an open claim could not be closed: {outcome:?}")),
        }
    }

    fn mark_unknown(&mut self, entry: u64) -> Result<(), String> {
        let outcome = self.commit(Body::MarkUnknown(MarkUnknown { entry }))?;
        let now = self.clock;
        let open = self.claims.keys.values_mut();
        let open = open.filter(|k| k.stage == Stage::Open && k.claim.entry == entry);
        let mut count = 0;
        for key in open {
            key.stage = Stage::Unknown;
            key.changed = now;
            count += 1;
        }
        match outcome.reply {
            Some(Reply::Forsaken(forsaken)) if forsaken.claims == count => Ok(()),
            other => Err(format!("{count} open claims, but {other:?}")),
        }
    }

    fn change_leader(&mut self) -> Result<(), String> {
        self.term += 1;
        let lead = Lead {
            term: self.term,
            leader: format!("van-{}", self.term % 3),
        };
        self.commit(Body::Lead(lead)).map(|_| ())
    }

    fn order(&mut self, target: u8, value: u8, stale: bool) -> Result<(), String> {
        let term = if stale { self.term - 1 } else { self.term };
        let name = format!("engine-{target}");
        let hold = Hold {
            deployment: format!("d{value}"),
            ..Hold::default()
        };
        let desired = Desired {
            target: name.clone(),
            holds: vec![hold],
        };
        let seen = self.state.orders().term();
        let outcome = self.commit(Body::Orders(Orders {
            term,
            targets: vec![desired],
        }))?;
        let ordered = match outcome.reply {
            Some(Reply::Rejected(_)) if term < seen => return Ok(()),
            Some(Reply::Ordered(ordered)) if term >= seen => ordered,
            other => return Err(format!("an old leader ordered: {other:?}")),
        };
        let name = name.parse().map_err(|_| "a name")?;
        let fence = self.state.orders().get(&name).ok_or("no order")?.fence;
        if ordered.changed > 0 && fence <= self.fence {
            return Err(format!("a fence went back: {fence:?}"));
        }
        self.fence = self.fence.max(fence);
        Ok(())
    }

    fn renew(&mut self, target: u8) -> Result<(), String> {
        let name = format!("engine-{target}");
        let known = name.parse().map_err(|_| "a name")?;
        let before = self.state.orders().get(&known).cloned();
        self.commit(Body::Renew(Renew {
            term: self.term,
            targets: vec![name],
        }))?;
        let after = self.state.orders().get(&known).cloned();
        match (before, after) {
            (None, None) => Ok(()),
            (Some(old), Some(new)) if new.fence > self.fence && new.holds == old.holds => {
                self.fence = new.fence;
                Ok(())
            }
            other => Err(format!("a renewed order is wrong: {other:?}")),
        }
    }

    /// Restarts the replica from an earlier snapshot and replays the commands after it.
    fn restart(&mut self, pick: u8) -> Result<(), String> {
        let at = usize::from(pick) * self.snapshots.len() / 256;
        let (mut index, bytes) = self.snapshots[at].clone();
        let mut fresh = ControlState::default();
        fresh.restore(&bytes).map_err(|e| e.to_string())?;
        if self.flaw != Flaw::LostTail {
            for command in &self.log[index..] {
                index += 1;
                fresh.apply(index as u64, command);
            }
        }
        self.replica = fresh;
        if self.replica.snapshot() != self.state.snapshot() {
            return Err("replicas differ after a restart".into());
        }
        Ok(())
    }

    fn pull(&mut self, pick: usize) -> Result<(), String> {
        let follower = &mut self.followers[pick];
        let mut delta = self.state.delta(follower.revision());
        if self.flaw == Flaw::ShortDelta {
            delta.written.truncate(1);
        }
        follower.apply(&delta).map_err(|e| e.to_string())?;
        if follower.declared() != self.state.declared().current() {
            return Err("a follower differs".into());
        }
        Ok(())
    }
}

fn write_of(apply: &Apply) -> Write {
    if let Some(object) = apply.removals.first() {
        return Write {
            pool: object.name.clone(),
            value: None,
        };
    }
    let after = |mark: &str| apply.text.split_once(mark).map_or("", |(_, rest)| rest);
    let digits = after("v=").chars().take_while(char::is_ascii_digit);
    Write {
        pool: after("[pool ").chars().take(2).collect(),
        value: digits.collect::<String>().parse().ok(),
    }
}

/// Returns the item `pick` places before the latest.
fn nth_latest<T>(items: &[T], pick: u8) -> Option<&T> {
    let from_end = usize::from(pick) + 1;
    items.len().checked_sub(from_end).map(|i| &items[i])
}
