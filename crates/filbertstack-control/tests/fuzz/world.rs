//! Two replicas, the callers and operators around them, and the oracle that watches.

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
use filbertstack_control::command::Forsake;
use filbertstack_control::command::Hold;
use filbertstack_control::command::Kind;
use filbertstack_control::command::Lead;
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

const START: u64 = 1_700_000_000_000;
pub const LIFE: u64 = 30_000;
const DEADLINE: u64 = 5_000;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flaw {
    None,
    /// The client stamps every resend anew.
    RestampedResend,
    /// The client draws a new identifier for every resend.
    NewIdentifier,
    /// The entry drops the operator's revision.
    DroppedRevision,
    /// A restart forgets the tail of the log after the snapshot.
    LostTail,
    /// The entry stamps keys by its own clock instead of the key's time.
    RestampedKey,
    /// An entry gives back a claim whose request may have run.
    ReleasedUnknown,
    /// A voter hands followers a delta that starts too late.
    ShortDelta,
}

impl Flaw {
    /// The flaws, each with what the oracle says of it.
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

pub struct World {
    flaw: Flaw,
    /// The true time; a leader's clock may lag behind it by `skew`.
    wall: u64,
    skew: u64,
    /// The state's clock as it should be.
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
    /// How often each outcome was met.
    pub tally: BTreeMap<String, u32>,
}

impl World {
    pub fn new(flaw: Flaw) -> Self {
        let limits = Limits {
            requests: 6,
            request_age_ms: 60_000,
            claims: 12,
            org_claims: 8,
            answers: 40,
        };
        let mut state = ControlState::with_limits(limits);
        let lead = Lead {
            term: 1,
            leader: "van-1".into(),
        };
        let first = Command::new(START, Body::Lead(lead)).to_bytes();
        state.apply(1, &first);
        Self {
            flaw,
            wall: START,
            skew: 0,
            clock: START,
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
                self.wall += span;
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
            Op::Forsake(entry) => self.forsake(u64::from(*entry)),
            Op::Lead => self.lead(),
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
        let stamp = self.wall.saturating_sub(self.skew);
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
        // A change is judged right after its commit; until then the oracle is one step behind.
        let behind = self.state.declared().revision() != self.declared.revision;
        if behind || values.eq(self.declared.pools.clone()) {
            return Ok(());
        }
        Err(format!("declared differs: {standing:?}"))
    }

    fn count(&mut self, what: &impl std::fmt::Debug) {
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

    /// Submits a change; the oracle judges what the operator meant, not what a flaw made of it.
    fn submit(&mut self, apply: &Apply) -> Result<(), String> {
        let mut given = apply.clone();
        if self.flaw == Flaw::DroppedRevision {
            given.expected = None;
        }
        let outcome = self.commit(Body::Apply(given))?;
        self.count(&outcome.reply);
        self.declared.judge(apply, &write_of(apply), &outcome)?;
        self.check_declared()
    }

    fn resend(&mut self, pick: u8) -> Result<(), String> {
        let Some(meant) = back(&self.sent, pick).cloned() else {
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
        let Some(mut other) = back(&self.sent, pick).cloned() else {
            return Ok(());
        };
        other.text = "[pool p9]\nlabels = v=9\ninstances = role=llm\n".into();
        other.removals = Vec::new();
        let known = self.state.snapshot();
        let outcome = self.commit(Body::Apply(other.clone()))?;
        // Once its first use is forgotten the identifier is as good as new.
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
        let known = back(&self.claimed, pick).filter(|_| !fresh);
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
            until: self.clock + DEADLINE,
            life: LIFE,
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
            self.count(&decision);
            if let Decision::Granted(fence) = decision {
                self.granted.push((claim.clone(), fence));
            }
            self.claims.judge(claim, &decision, self.clock, ran)?;
        }
        Ok(())
    }

    fn reclaim(&mut self, pick: u8) -> Result<(), String> {
        let Some(claim) = back(&self.claimed, pick).cloned() else {
            return Ok(());
        };
        self.submit_claims(&[claim], false)
    }

    /// The holder of a key, if it may still speak for it.
    fn holder(&self, pick: u8) -> Option<(Claim, u64)> {
        let claim = back(&self.claimed, pick)?;
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

    /// The end of an earlier attempt arrives after the key went to another one.
    fn settle_late(&mut self, pick: u8) -> Result<(), String> {
        let Some((claim, fence)) = back(&self.granted, pick).cloned() else {
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

    /// Only a claim whose request did not run is given back.
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
        // Half of them have lost the outcome of their claim, and with it the fence.
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
            // Forgotten, as only an unknown one can be.
            Some(Reply::Stale(_) | Reply::Done(_)) if row.stage == Stage::Unknown => Ok(()),
            _ => Err(format!("an open claim could not be closed: {outcome:?}")),
        }
    }

    fn forsake(&mut self, entry: u64) -> Result<(), String> {
        let outcome = self.commit(Body::Forsake(Forsake { entry }))?;
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

    fn lead(&mut self) -> Result<(), String> {
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

    /// The replica starts anew from some earlier snapshot and replays what followed.
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

/// The thing `pick` places before the latest.
fn back<T>(things: &[T], pick: u8) -> Option<&T> {
    let from_end = usize::from(pick) + 1;
    things.len().checked_sub(from_end).map(|i| &things[i])
}
