//! Labels are small sets of `key=value` pairs that operators attach to declared objects.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::error::ValueError;
use crate::names::check_name;

/// A set of labels with at most one value for each key, ordered by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(BTreeMap<Arc<str>, Arc<str>>);

impl Labels {
    /// Returns the value of `key`, if the set has one.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(AsRef::as_ref)
    }

    /// Sets `key` to `value` and replaces an earlier value.
    ///
    /// # Errors
    /// Returns [`ValueError::Name`] if `key` or `value` is not a valid name.
    pub fn set(&mut self, key: &str, value: &str) -> Result<(), ValueError> {
        check_name(key)?;
        check_name(value)?;
        self.0.insert(key.into(), value.into());
        Ok(())
    }

    /// Iterates over the labels in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(key, value)| (key.as_ref(), value.as_ref()))
    }

    /// Returns whether the set is empty.
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
            let malformed = || ValueError::Label { text: part.into() };
            let (key, value) = part.split_once('=').ok_or_else(malformed)?;
            let (key, value) = (key.trim(), value.trim());
            if labels.get(key).is_some() {
                return Err(ValueError::DuplicateLabel { key: key.into() });
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
