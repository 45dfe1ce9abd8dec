//! The register: lasting facts about instances, as they announced themselves.
//!
//! Only what changes with a machine's making stands here: labels (zone and region among them)
//! and memory. Whether an instance is alive, what it holds and how loaded it is never goes
//! through the log: 2,000 heartbeats a second would, these rows come to a few hundred a day.

use std::collections::BTreeMap;

use filbertstack_core::Labels;
use filbertstack_core::names::InstanceName;

use crate::command::Instance;
use crate::command::Register as Rows;
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
    /// The facts of an instance.
    pub fn get(&self, name: &InstanceName) -> Option<&Facts> {
        self.instances.get(name)
    }

    /// The instances by name.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Facts)> {
        self.instances.iter()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Whether an instance has the label key.
    pub fn has_key(&self, key: &str) -> bool {
        self.instances
            .values()
            .any(|facts| facts.labels.get(key).is_some())
    }

    /// Takes in new rows and takes out those that are gone; all or nothing. Whether the register
    /// changed.
    pub(crate) fn update(&mut self, rows: &Rows) -> Result<bool, Vec<Reason>> {
        let read = rows.instances.iter().map(read);
        let (good, bad): (Vec<_>, Vec<_>) = read.partition(Result::is_ok);
        let bad: Vec<_> = bad.into_iter().filter_map(Result::err).collect();
        if !bad.is_empty() {
            return Err(bad);
        }
        let good: BTreeMap<_, _> = good.into_iter().flatten().collect();
        let added = good.keys().filter(|name| self.get(name).is_none());
        if self.instances.len() + added.count() > MAX_INSTANCES {
            let what = format!("more than {MAX_INSTANCES} instances: remove those that are gone");
            return Err(vec![Reason::new(Fault::TooLarge, "", what)]);
        }
        let mut changed = false;
        for (name, facts) in good {
            changed |= self.instances.get(&name) != Some(&facts);
            self.instances.insert(name, facts);
        }
        for name in rows.gone.iter().filter_map(|name| name.parse().ok()) {
            changed |= self.instances.remove::<InstanceName>(&name).is_some();
        }
        Ok(changed)
    }
}

fn read(row: &Instance) -> Result<(InstanceName, Facts), Reason> {
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
