//! The register holds the lasting facts about instances, as the instances announced them.
//!
//! It holds only what is fixed when an instance is set up: its labels (zone and region among them) and
//! its memory. Whether an instance is alive, which versions it holds and how loaded it is never goes
//! through the log: that would be 2,000 heartbeats a second, while the rows of the register change a few
//! hundred times a day.

use std::collections::BTreeMap;

use filbertstack_core::Labels;
use filbertstack_core::names::InstanceName;

use crate::command::Instance;
use crate::command::Register as Registration;
use crate::limits::MAX_INSTANCES;
use crate::limits::MAX_LABELS;
use crate::outcome::Fault;
use crate::outcome::Reason;

/// The facts of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Facts {
    /// Its labels.
    pub labels: Labels,
    /// The memory for weights in bytes; 0 for a plain service.
    pub memory: u64,
}

/// The instances known to the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    instances: BTreeMap<InstanceName, Facts>,
}

impl Register {
    /// Returns the facts of an instance.
    pub fn get(&self, name: &InstanceName) -> Option<&Facts> {
        self.instances.get(name)
    }

    /// Returns the instances by name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Facts)> {
        self.instances.iter()
    }

    /// Returns the number of instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Returns whether no instance is registered.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Returns whether any instance has the label key.
    pub fn has_label_key(&self, key: &str) -> bool {
        self.instances
            .values()
            .any(|facts| facts.labels.get(key).is_some())
    }

    /// Adds or replaces rows and removes those that are gone, all of them or none. Returns whether the
    /// register changed.
    pub(crate) fn update(&mut self, rows: &Registration) -> Result<bool, Vec<Reason>> {
        let parsed = rows.instances.iter().map(parse_instance);
        let (valid, invalid): (Vec<_>, Vec<_>) = parsed.partition(Result::is_ok);
        let invalid: Vec<_> = invalid.into_iter().filter_map(Result::err).collect();
        if !invalid.is_empty() {
            return Err(invalid);
        }
        let valid: BTreeMap<_, _> = valid.into_iter().flatten().collect();
        let added = valid.keys().filter(|name| self.get(name).is_none());
        if self.instances.len() + added.count() > MAX_INSTANCES {
            let what = format!("more than {MAX_INSTANCES} instances: remove those that are gone");
            return Err(vec![Reason::new(Fault::TooLarge, "", what)]);
        }
        let mut changed = false;
        for (name, facts) in valid {
            changed |= self.instances.get(&name) != Some(&facts);
            self.instances.insert(name, facts);
        }
        for name in rows.gone.iter().filter_map(|name| name.parse().ok()) {
            changed |= self.instances.remove::<InstanceName>(&name).is_some();
        }
        Ok(changed)
    }
}

fn parse_instance(row: &Instance) -> Result<(InstanceName, Facts), Reason> {
    let refuse = |what: String| Reason::new(Fault::Malformed, &row.name, what);
    if row.labels.len() > MAX_LABELS {
        return Err(refuse(format!("labels of more than {MAX_LABELS} bytes")));
    }
    let name = row
        .name
        .parse()
        .map_err(|error| refuse(format!("name: {error}")))?;
    let labels = row
        .labels
        .parse()
        .map_err(|error| refuse(format!("labels: {error}")))?;
    let facts = Facts {
        labels,
        memory: row.memory,
    };
    Ok((name, facts))
}
