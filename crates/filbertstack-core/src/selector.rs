//! A selector is a list of requirements on labels, all of which must hold.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::error::ValueError;
use crate::labels::Labels;
use crate::names::check_name;

/// The condition that a requirement places on the value of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Demand {
    /// The value is in the set: `key=a` or `key in (a, b)`.
    In(Vec<Arc<str>>),
    /// The key is absent or has another value: `key!=a` or `key notin (a, b)`.
    NotIn(Vec<Arc<str>>),
    /// The key is present: `key`.
    Present,
    /// The key is absent: `!key`.
    Absent,
}

impl Demand {
    /// Returns whether `value` meets this demand; `None` means that the key is absent.
    pub fn allows(&self, value: Option<&str>) -> bool {
        let contains =
            |set: &[Arc<str>]| value.is_some_and(|v| set.iter().any(|s| s.as_ref() == v));
        match self {
            Self::In(set) => contains(set),
            Self::NotIn(set) => !contains(set),
            Self::Present => value.is_some(),
            Self::Absent => value.is_none(),
        }
    }
}

/// One requirement of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirement {
    /// The label key.
    pub key: Arc<str>,
    /// The condition on the value of the key.
    pub demand: Demand,
}

impl Requirement {
    /// Returns whether `labels` meet this requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.demand.allows(labels.get(&self.key))
    }
}

/// A list of requirements that must all hold; an empty selector matches all labels.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    requirements: Vec<Requirement>,
}

impl Selector {
    /// Returns whether `labels` meet every requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements
            .iter()
            .all(|requirement| requirement.matches(labels))
    }

    /// Returns whether any set of labels can meet both selectors.
    pub fn overlaps(&self, other: &Self) -> bool {
        let all_requirements = || self.requirements.iter().chain(&other.requirements);
        all_requirements().all(|requirement| {
            let same_key = all_requirements().filter(|one| one.key == requirement.key);
            let demands: Vec<_> = same_key.map(|one| &one.demand).collect();
            satisfiable(&demands)
        })
    }

    /// Returns whether any set of labels can meet the selector; no labels meet `a=x, a=y`.
    pub fn is_satisfiable(&self) -> bool {
        self.overlaps(&Self::default())
    }

    /// Returns the requirements in the order of the text.
    pub fn requirements(&self) -> &[Requirement] {
        &self.requirements
    }
}

/// Returns whether one value of a key, or its absence, meets all `demands` on that key.
fn satisfiable(demands: &[&Demand]) -> bool {
    let meets_all = |value: Option<&str>| demands.iter().all(|demand| demand.allows(value));
    let value_sets = demands.iter().filter_map(|demand| match demand {
        Demand::In(set) => Some(set),
        _ => None,
    });
    let bounds_value = |demand: &&Demand| matches!(demand, Demand::In(_) | Demand::Absent);
    // Without `In` or `Absent`, the values are unbounded: any number of `NotIn` leaves some of them.
    let unbounded = !demands.iter().any(bounds_value);
    let mut values = value_sets.flatten();
    unbounded || meets_all(None) || values.any(|value| meets_all(Some(value)))
}

impl FromStr for Selector {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let parts = split_outside_parentheses(text);
        let requirements = parts
            .into_iter()
            .map(parse_requirement)
            .collect::<Result<_, _>>()?;
        Ok(Self { requirements })
    }
}

fn split_outside_parentheses(text: &str) -> Vec<&str> {
    let mut depth = 0_u32;
    let is_separator = |c: char| {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        c == ',' && depth == 0
    };
    text.split(is_separator)
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .collect()
}

fn parse_requirement(text: &str) -> Result<Requirement, ValueError> {
    let (key, demand) =
        split_requirement(text).ok_or_else(|| ValueError::Requirement { text: text.into() })?;
    check_name(key)?;
    Ok(Requirement {
        key: key.into(),
        demand,
    })
}

fn split_requirement(text: &str) -> Option<(&str, Demand)> {
    if let Some((key, value)) = text.split_once("!=") {
        return Some((key.trim(), Demand::NotIn(vec![parse_value(value)?])));
    }
    if let Some((key, value)) = text.split_once('=') {
        return Some((key.trim(), Demand::In(vec![parse_value(value)?])));
    }
    if let Some(key) = text.strip_prefix('!') {
        return Some((key.trim(), Demand::Absent));
    }
    let Some((head, list)) = text.split_once('(') else {
        let single_word = !text.contains(char::is_whitespace);
        return single_word.then_some((text, Demand::Present));
    };
    let set: Option<Vec<_>> = list
        .strip_suffix(')')?
        .split(',')
        .map(parse_value)
        .collect();
    let (key, operator) = head.trim().split_once(char::is_whitespace)?;
    match operator.trim() {
        "in" => Some((key, Demand::In(set?))),
        "notin" => Some((key, Demand::NotIn(set?))),
        _ => None,
    }
}

fn parse_value(text: &str) -> Option<Arc<str>> {
    let text = text.trim();
    check_name(text).ok()?;
    Some(text.into())
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, requirement) in self.requirements.iter().enumerate() {
            let comma = if i == 0 { "" } else { ", " };
            write!(f, "{comma}{requirement}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match &self.demand {
            Demand::Present => write!(f, "{key}"),
            Demand::Absent => write!(f, "!{key}"),
            Demand::In(set) => write!(f, "{key} in ({})", set.join(", ")),
            Demand::NotIn(set) => write!(f, "{key} notin ({})", set.join(", ")),
        }
    }
}

impl serde::Serialize for Selector {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Selector {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
