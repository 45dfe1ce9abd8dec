//! The declarations in force change by compare-and-set on their revision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use filbertstack_core::Declarations;

use crate::catalogue::Catalogue;
use crate::command::Apply;
use crate::command::Kind;
use crate::command::Object;
use crate::limits::MAX_CHANGE_OBJECTS;
use crate::limits::MAX_DECLARED;
use crate::limits::MAX_HISTORY;
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
    /// The revision that last wrote each declared object.
    pub(crate) written: BTreeMap<Object, u64>,
    /// The revision that removed each object that is no longer declared.
    pub(crate) removed: BTreeMap<Object, u64>,
    /// Removals up to this revision may be forgotten: a follower with an older revision needs all
    /// declarations.
    pub(crate) floor: u64,
    pub(crate) history: VecDeque<Change>,
}

/// The parts of the state that validation reads besides the declarations.
#[derive(Clone, Copy)]
pub(crate) struct ValidationContext<'a> {
    pub(crate) catalogue: &'a Catalogue,
    pub(crate) register: &'a Register,
    pub(crate) clock: u64,
}

/// The declarations after a change that parses, with the reasons already found against it.
struct ParsedChange {
    after: Declarations,
    reasons: Vec<Reason>,
}

impl Declared {
    /// Returns the declarations.
    pub fn current(&self) -> &Declarations {
        &self.current
    }

    /// Returns the revision: 0 before the first change, and one more at each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the latest accepted changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Change> {
        self.history.iter()
    }

    /// Returns the revision that last wrote `object`.
    pub fn written(&self, object: &Object) -> Option<u64> {
        self.written.get(object).copied()
    }

    /// Validates a change and, if there is no reason against it, puts it in force.
    pub(crate) fn apply(&mut self, apply: &Apply, context: ValidationContext) -> Outcome {
        let conflicting = apply.expected.filter(|expected| *expected != self.revision);
        if let Some(expected) = conflicting {
            return Reply::Conflict(self.conflict(expected)).into();
        }
        let parsed = match self.parse_change(apply) {
            Ok(parsed) => parsed,
            Err(reasons) => return reasons.into(),
        };
        let ParsedChange { after, mut reasons } = parsed;
        let touched = changed_objects(&self.current, &after);
        let proposal = Proposal {
            before: &self.current,
            after: &after,
            touched: &touched,
            catalogue: context.catalogue,
            register: context.register,
        };
        let found = proposal.validate();
        reasons.extend(found.reasons);
        if !reasons.is_empty() {
            return reasons.into();
        }
        let changed = !touched.is_empty();
        if changed {
            self.accept(apply, after, touched, context.clock);
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

    /// Returns the declarations after the change, not yet validated. Returns an error if the change can't
    /// be parsed.
    fn parse_change(&self, apply: &Apply) -> Result<ParsedChange, Vec<Reason>> {
        if apply.text.len() > MAX_TEXT || apply.removals.len() > MAX_OBJECTS {
            let what = format!("a change of more than {MAX_TEXT} bytes or {MAX_OBJECTS} removals");
            return Err(vec![Reason::new(Fault::TooLarge, "", what)]);
        }
        let written = Declarations::parse("declarations", &apply.text).map_err(|problems| {
            let texts = problems.0.iter().map(ToString::to_string);
            texts
                .map(|what| Reason::new(Fault::Syntax, "", what))
                .collect::<Vec<_>>()
        })?;
        let mut after = self.current.clone();
        let mut reasons = Vec::new();
        for object in &apply.removals {
            reasons.extend(apply_removal(&mut after, &written, object).err());
        }
        after.deployments.extend(written.deployments);
        after.pools.extend(written.pools);
        after.rules.extend(written.rules);
        if after.deployments.len() + after.pools.len() + after.rules.len() > MAX_OBJECTS {
            let what = format!("more than {MAX_OBJECTS} objects declared: remove some");
            reasons.push(Reason::new(Fault::TooLarge, "", what));
        }
        if after.to_string().len() > MAX_DECLARED {
            let what = format!("more than {MAX_DECLARED} bytes declared in all: remove some");
            reasons.push(Reason::new(Fault::TooLarge, "", what));
        }
        Ok(ParsedChange { after, reasons })
    }

    fn accept(&mut self, apply: &Apply, after: Declarations, touched: BTreeSet<Object>, at: u64) {
        self.revision += 1;
        self.current = after;
        for object in &touched {
            if is_declared(&self.current, object) {
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
            objects: touched.into_iter().take(MAX_CHANGE_OBJECTS).collect(),
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Forgets the oldest removals over the limit. All removals of one revision go together.
    fn trim_removed(&mut self) {
        while self.removed.len() > MAX_TOMBSTONES {
            let oldest = self.removed.values().min().copied().unwrap_or(0);
            self.floor = self.floor.max(oldest);
            self.removed.retain(|_, revision| *revision > oldest);
        }
    }
}

fn apply_removal(
    after: &mut Declarations,
    written: &Declarations,
    object: &Object,
) -> Result<(), Reason> {
    let refuse = |what: &str| Err(Reason::new(Fault::Removal, &object.to_string(), what));
    if Kind::try_from(object.kind).is_err() {
        return refuse("is of no known kind: use deployment, pool or rule");
    }
    if is_declared(written, object) {
        return refuse("is both written and removed: keep one of them");
    }
    if !remove_object(after, object) {
        return refuse("is not declared: leave it out of the removals");
    }
    Ok(())
}

/// Removes `object` from the declarations. Returns whether it was declared.
pub(crate) fn remove_object(from: &mut Declarations, object: &Object) -> bool {
    let name = object.name.as_str();
    match object.kind() {
        Kind::Deployment => remove_named(&mut from.deployments, name),
        Kind::Pool => remove_named(&mut from.pools, name),
        Kind::Rule => remove_named(&mut from.rules, name),
    }
}

fn remove_named<N: std::str::FromStr + Ord, T>(from: &mut BTreeMap<N, T>, name: &str) -> bool {
    name.parse().is_ok_and(|name| from.remove(&name).is_some())
}

/// Returns whether `declared` has `object`.
pub(crate) fn is_declared(declared: &Declarations, object: &Object) -> bool {
    section_text(declared, object).is_some()
}

/// Returns the keys of `object` in their canonical form, without the section's header.
pub(crate) fn section_text(declared: &Declarations, object: &Object) -> Option<String> {
    let name = object.name.as_str();
    match object.kind() {
        Kind::Deployment => render_named(&declared.deployments, name),
        Kind::Pool => render_named(&declared.pools, name),
        Kind::Rule => render_named(&declared.rules, name),
    }
}

fn render_named<N: std::str::FromStr + Ord, T: ToString>(
    from: &BTreeMap<N, T>,
    name: &str,
) -> Option<String> {
    let value = from.get(&name.parse().ok()?)?;
    Some(value.to_string())
}

/// Returns the objects that differ between two sets of declarations.
fn changed_objects(before: &Declarations, after: &Declarations) -> BTreeSet<Object> {
    let mut objects = BTreeSet::new();
    for_each_difference(&before.deployments, &after.deployments, |name| {
        objects.insert(Object::new(Kind::Deployment, name.as_str()));
    });
    for_each_difference(&before.pools, &after.pools, |name| {
        objects.insert(Object::new(Kind::Pool, name.as_str()));
    });
    for_each_difference(&before.rules, &after.rules, |name| {
        objects.insert(Object::new(Kind::Rule, name.as_str()));
    });
    objects
}

fn for_each_difference<N: Ord, T: PartialEq>(
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
