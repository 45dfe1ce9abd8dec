//! Labels: small sets of `key=value` that operators attach to what they declare.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::error::ValueError;
use crate::names::check_name;

/// A set of labels, at most one value a key, in the order of the keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(BTreeMap<Arc<str>, Arc<str>>);

impl Labels {
    /// The value of `key`, if the set has one.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(AsRef::as_ref)
    }

    /// Sets `key` to `value`; an earlier value is replaced.
    ///
    /// # Errors
    /// [`ValueError::Name`] if either is no name.
    pub fn set(&mut self, key: &str, value: &str) -> Result<(), ValueError> {
        check_name(key)?;
        check_name(value)?;
        self.0.insert(key.into(), value.into());
        Ok(())
    }

    /// The labels in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(key, value)| (key.as_ref(), value.as_ref()))
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromStr for Labels {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let mut labels = Self::default();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            let label = || ValueError::Label { text: part.into() };
            let (key, value) = part.split_once('=').ok_or_else(label)?;
            let (key, value) = (key.trim(), value.trim());
            if labels.get(key).is_some() {
                return Err(ValueError::LabelTwice { key: key.into() });
            }
            labels.set(key, value)?;
        }
        Ok(labels)
    }
}

impl fmt::Display for Labels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (key, value)) in self.iter().enumerate() {
            let comma = if i == 0 { "" } else { ", " };
            write!(f, "{comma}{key}={value}")?;
        }
        Ok(())
    }
}
