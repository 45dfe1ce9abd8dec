//! The declarations in force, changed by compare-and-set on their revision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use filbertstack_core::Declarations;

use crate::catalogue::Catalogue;
use crate::command::Apply;
use crate::command::Kind;
use crate::command::Object;
use crate::limits::MAX_DECLARED;
use crate::limits::MAX_HISTORY;
use crate::limits::MAX_NAMED;
use crate::limits::MAX_OBJECTS;
use crate::limits::MAX_TEXT;
use crate::limits::MAX_TOMBSTONES;
use crate::outcome::Accepted;
use crate::outcome::Change;
use crate::outcome::Conflict;
use crate::outcome::Fault;
use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::outcome::Reply;
use crate::register::Register;
use crate::validate::Proposal;

/// The declarations with the revision of every object.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declared {
    pub(crate) current: Declarations,
    pub(crate) revision: u64,
    /// The revision that last wrote each standing object.
    pub(crate) written: BTreeMap<Object, u64>,
    /// The revision that removed each object that no longer stands.
    pub(crate) removed: BTreeMap<Object, u64>,
    /// Removals up to this revision may be forgotten: a follower behind it needs everything.
    pub(crate) floor: u64,
    pub(crate) history: VecDeque<Change>,
}

/// What validation looks at besides the declarations.
#[derive(Clone, Copy)]
pub(crate) struct Surroundings<'a> {
    pub(crate) catalogue: &'a Catalogue,
    pub(crate) register: &'a Register,
    pub(crate) clock: u64,
}

/// A change that reads, with what is already known to be wrong with it.
struct Proposed {
    after: Declarations,
    reasons: Vec<Reason>,
}

impl Declared {
    /// The declarations.
    pub fn current(&self) -> &Declarations {
        &self.current
    }

    /// The revision: 0 before the first change, one more at each.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The latest accepted changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// The revision that last wrote `object`.
    pub fn written(&self, object: &Object) -> Option<u64> {
        self.written.get(object).copied()
    }

    pub(crate) fn apply(&mut self, apply: &Apply, around: Surroundings) -> Outcome {
        let clash = apply.expected.filter(|expected| *expected != self.revision);
        if let Some(expected) = clash {
            return Reply::Conflict(self.conflict(expected)).into();
        }
        let proposed = match self.proposed(apply) {
            Ok(proposed) => proposed,
            Err(reasons) => return reasons.into(),
        };
        let Proposed { after, mut reasons } = proposed;
        let touched = touched(&self.current, &after);
        let proposal = Proposal {
            before: &self.current,
            after: &after,
            touched: &touched,
            catalogue: around.catalogue,
            register: around.register,
        };
        let found = proposal.validate();
        reasons.extend(found.reasons);
        if !reasons.is_empty() {
            return reasons.into();
        }
        let changed = !touched.is_empty();
        if changed {
            self.accept(apply, after, touched, around.clock);
        }
        Reply::Accepted(Accepted {
            revision: self.revision,
            changed,
            warnings: found.warnings,
        })
        .into()
    }

    fn conflict(&self, expected: u64) -> Conflict {
        let next = self
            .history
            .iter()
            .find(|c| c.revision == expected.saturating_add(1));
        Conflict {
            current: self.revision,
            won: next.or(self.history.back()).cloned(),
        }
    }

    /// The declarations after the change, not yet validated; an error if the change does not read.
    fn proposed(&self, apply: &Apply) -> Result<Proposed, Vec<Reason>> {
        if apply.text.len() > MAX_TEXT || apply.removals.len() > MAX_OBJECTS {
            let what = format!("a change of more than {MAX_TEXT} bytes or {MAX_OBJECTS} removals");
            return Err(vec![Reason::new(Fault::TooLarge, "", what)]);
        }
        let given = Declarations::parse("declarations", &apply.text).map_err(|problems| {
            let texts = problems.0.iter().map(ToString::to_string);
            texts
                .map(|what| Reason::new(Fault::Syntax, "", what))
                .collect::<Vec<_>>()
        })?;
        let mut after = self.current.clone();
        let mut reasons = Vec::new();
        for object in &apply.removals {
            reasons.extend(remove(&mut after, &given, object).err());
        }
        after.deployments.extend(given.deployments);
        after.pools.extend(given.pools);
        after.rules.extend(given.rules);
        if after.deployments.len() + after.pools.len() + after.rules.len() > MAX_OBJECTS {
            let what = format!("more than {MAX_OBJECTS} objects declared: remove some");
            reasons.push(Reason::new(Fault::TooLarge, "", what));
        }
        if after.to_string().len() > MAX_DECLARED {
            let what = format!("more than {MAX_DECLARED} bytes declared in all: remove some");
            reasons.push(Reason::new(Fault::TooLarge, "", what));
        }
        Ok(Proposed { after, reasons })
    }

    fn accept(&mut self, apply: &Apply, after: Declarations, touched: BTreeSet<Object>, at: u64) {
        self.revision += 1;
        self.current = after;
        for object in &touched {
            if stands(&self.current, object) {
                self.removed.remove(object);
                self.written.insert(object.clone(), self.revision);
            } else {
                self.written.remove(object);
                self.removed.insert(object.clone(), self.revision);
            }
        }
        self.trim_removed();
        self.history.push_back(Change {
            revision: self.revision,
            operator: apply.operator.clone(),
            request: apply.request.clone(),
            at,
            objects: touched.into_iter().take(MAX_NAMED).collect(),
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Forgets the oldest removals over the limit, all of one revision together.
    fn trim_removed(&mut self) {
        while self.removed.len() > MAX_TOMBSTONES {
            let oldest = self.removed.values().min().copied().unwrap_or(0);
            self.floor = self.floor.max(oldest);
            self.removed.retain(|_, revision| *revision > oldest);
        }
    }
}

fn remove(after: &mut Declarations, given: &Declarations, object: &Object) -> Result<(), Reason> {
    let refuse = |what: &str| Err(Reason::new(Fault::Removal, &object.to_string(), what));
    if Kind::try_from(object.kind).is_err() {
        return refuse("is of no known kind: use deployment, pool or rule");
    }
    if stands(given, object) {
        return refuse("is both written and removed: keep one of them");
    }
    if !erase(after, object) {
        return refuse("is not declared: leave it out of the removals");
    }
    Ok(())
}

pub(crate) fn erase(from: &mut Declarations, object: &Object) -> bool {
    let name = object.name.as_str();
    match object.kind() {
        Kind::Deployment => take(&mut from.deployments, name),
        Kind::Pool => take(&mut from.pools, name),
        Kind::Rule => take(&mut from.rules, name),
    }
}

fn take<N: std::str::FromStr + Ord, T>(from: &mut BTreeMap<N, T>, name: &str) -> bool {
    name.parse().is_ok_and(|name| from.remove(&name).is_some())
}

/// Whether `object` stands in `declared`.
pub(crate) fn stands(declared: &Declarations, object: &Object) -> bool {
    section_text(declared, object).is_some()
}

/// The keys of `object` in their canonical form, without the section's header.
pub(crate) fn section_text(declared: &Declarations, object: &Object) -> Option<String> {
    let name = object.name.as_str();
    match object.kind() {
        Kind::Deployment => render(&declared.deployments, name),
        Kind::Pool => render(&declared.pools, name),
        Kind::Rule => render(&declared.rules, name),
    }
}

fn render<N: std::str::FromStr + Ord, T: ToString>(
    from: &BTreeMap<N, T>,
    name: &str,
) -> Option<String> {
    let value = from.get(&name.parse().ok()?)?;
    Some(value.to_string())
}

/// The objects that differ between two sets of declarations.
fn touched(before: &Declarations, after: &Declarations) -> BTreeSet<Object> {
    let mut objects = BTreeSet::new();
    differing(&before.deployments, &after.deployments, |name| {
        objects.insert(Object::new(Kind::Deployment, name.as_str()));
    });
    differing(&before.pools, &after.pools, |name| {
        objects.insert(Object::new(Kind::Pool, name.as_str()));
    });
    differing(&before.rules, &after.rules, |name| {
        objects.insert(Object::new(Kind::Rule, name.as_str()));
    });
    objects
}

fn differing<N: Ord, T: PartialEq>(
    before: &BTreeMap<N, T>,
    after: &BTreeMap<N, T>,
    mut report: impl FnMut(&N),
) {
    for (name, value) in after {
        if before.get(name) != Some(value) {
            report(name);
        }
    }
    for name in before.keys().filter(|name| !after.contains_key(name)) {
        report(name);
    }
}
