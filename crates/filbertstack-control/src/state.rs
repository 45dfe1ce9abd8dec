//! The control state is what the commands of the replicated log produce, applied in order.

use filbertstack_core::Digest;
use filbertstack_core::names::check_name;
use prost::Message;

use crate::catalogue::Catalogue;
use crate::claims::Claims;
use crate::command::Apply;
use crate::command::Batch;
use crate::command::Body;
use crate::command::Command;
use crate::command::Register as Registration;
use crate::command::Retire;
use crate::declared::Declared;
use crate::declared::ValidationContext;
use crate::limits::Limits;
use crate::limits::MAX_ID;
use crate::orders::Orders;
use crate::outcome::Done;
use crate::outcome::Fault;
use crate::outcome::Forsaken;
use crate::outcome::Ordered;
use crate::outcome::Outcome;
use crate::outcome::Outcomes;
use crate::outcome::Reason;
use crate::outcome::Reply;
use crate::outcome::Stale;
use crate::register::Register;
use crate::requests::Requests;
use crate::snapshot;
use crate::snapshot::RestoreError;

/// The state that every replica computes from the same log.
///
/// It reads no clock and draws no random number. Only commands change it, through
/// [`ControlState::apply`], apart from [`ControlState::restore`]; all other methods are queries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    pub(crate) limits: Limits,
    pub(crate) clock: u64,
    pub(crate) index: u64,
    pub(crate) declared: Declared,
    pub(crate) requests: Requests,
    pub(crate) catalogue: Catalogue,
    pub(crate) register: Register,
    pub(crate) orders: Orders,
    pub(crate) claims: Claims,
}

impl ControlState {
    /// Creates an empty state with limits other than [`Limits::DEFAULT`]. Every replica needs the same
    /// limits.
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies the log entry at `index`.
    ///
    /// Bytes that do not decode as a command change nothing but the index, and do so on every replica.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Outcome {
        self.index = index;
        let Ok(command) = Command::decode(command) else {
            return Reason::malformed("the log entry is no command of this version").into();
        };
        self.clock = self.clock.max(command.now);
        self.claims.expire(self.clock);
        self.requests.forget_old(self.clock, &self.limits);
        match command.body {
            Some(Body::Batch(batch)) => self.run_batch(batch),
            Some(body) => self.run(body),
            None => Reason::malformed("the command is empty or of a newer version").into(),
        }
    }

    /// Returns the state as bytes. Equal states give equal bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::write(self)
    }

    /// Replaces the state by the one in `bytes`. On an error the state stays as it was.
    ///
    /// # Errors
    /// Returns a [`RestoreError`] if the bytes are not a snapshot, or one that no state could have
    /// written.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        *self = snapshot::read(bytes)?;
        Ok(())
    }

    /// Returns the state's clock in Unix milliseconds: the greatest time of any command so far.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Returns the index of the last log entry applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the declarations in force.
    pub fn declared(&self) -> &Declared {
        &self.declared
    }

    /// Returns the published versions.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the registered instances.
    pub fn register(&self) -> &Register {
        &self.register
    }

    /// Returns the desired state of the targets.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Returns the claims of idempotency keys.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    fn run_batch(&mut self, batch: Batch) -> Outcome {
        let bodies = batch.commands.into_iter().map(|command| command.body);
        let outcomes = bodies
            .map(|body| match body {
                Some(Body::Batch(_)) | None => {
                    Reason::malformed("a batch holds an empty command or a batch").into()
                }
                Some(body) => self.run(body),
            })
            .collect();
        Reply::Batch(Outcomes { outcomes }).into()
    }

    fn run(&mut self, body: Body) -> Outcome {
        let clock = self.clock;
        match body {
            Body::Apply(apply) => self.declare(&apply),
            Body::Publish(publish) => done(self.catalogue.publish(publish).map_err(|r| vec![r])),
            Body::Retire(retire) => done(self.retire(&retire).map_err(|r| vec![r])),
            Body::Register(rows) => done(self.register_instances(&rows)),
            Body::Lead(lead) => done(self.orders.record_leader(lead).map_err(|r| vec![r])),
            Body::Orders(orders) => ordered(self.orders.record(orders)),
            Body::Renew(renew) => ordered(self.orders.renew(&renew)),
            Body::Claim(claim) => {
                Reply::Claimed(self.claims.claim(&claim, clock, &self.limits)).into()
            }
            Body::Settle(settle) => settled(self.claims.settle(settle, clock, &self.limits)),
            Body::Release(release) => settled(self.claims.release(&release, clock)),
            Body::Abandon(claim) => {
                let changed = self.claims.abandon(&claim, clock, &self.limits);
                Reply::Done(Done { changed }).into()
            }
            Body::MarkUnknown(ended) => {
                let claims = self.claims.mark_entry_unknown(ended.entry, clock);
                Reply::Forsaken(Forsaken { claims }).into()
            }
            Body::Batch(_) => Reason::malformed("a batch holds no batch").into(),
        }
    }

    fn declare(&mut self, apply: &Apply) -> Outcome {
        if check_name(&apply.operator).is_err() || !is_valid_id(&apply.request) {
            let what = format!("give an operator's name and a request id of 1 to {MAX_ID} bytes");
            return Reason::malformed(what).into();
        }
        if let Some(first) = self.requests.check(apply, self.clock) {
            return first;
        }
        let context = ValidationContext {
            catalogue: &self.catalogue,
            register: &self.register,
            clock: self.clock,
        };
        let outcome = self.declared.apply(apply, context);
        self.requests.remember(apply, &outcome, self.clock);
        self.requests.forget_old(self.clock, &self.limits);
        outcome
    }

    fn retire(&mut self, retire: &Retire) -> Result<bool, Reason> {
        let root = Digest::from_slice(&retire.root)
            .ok_or_else(|| Reason::malformed("the manifest's digest is not 32 bytes"))?;
        let mut deployments = self.declared.current.deployments.iter();
        if let Some((name, _)) = deployments.find(|(_, d)| d.version == root) {
            let what =
                format!("version {root} is declared by [deployment {name}]: change it first");
            return Err(Reason::new(Fault::InUse, "", what));
        }
        Ok(self.catalogue.retire(&root))
    }

    fn register_instances(&mut self, rows: &Registration) -> Result<bool, Vec<Reason>> {
        let mut changed = self.register.update(rows)?;
        for name in rows.gone.iter().filter_map(|name| name.parse().ok()) {
            changed |= self.orders.forget(&name);
        }
        Ok(changed)
    }
}

fn is_valid_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_ID
}

fn done(result: Result<bool, Vec<Reason>>) -> Outcome {
    match result {
        Ok(changed) => Reply::Done(Done { changed }).into(),
        Err(reasons) => reasons.into(),
    }
}

fn ordered(result: Result<Ordered, Vec<Reason>>) -> Outcome {
    match result {
        Ok(ordered) => Reply::Ordered(ordered).into(),
        Err(reasons) => reasons.into(),
    }
}

fn settled(found: bool) -> Outcome {
    if found {
        return Reply::Done(Done { changed: true }).into();
    }
    Reply::Stale(Stale {}).into()
}
