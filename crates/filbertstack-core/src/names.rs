//! Names are shared immutable strings, with one type for each kind of object.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::error::ValueError;

/// The maximum length of a name in bytes. It equals that of a DNS label, so that a name fits into every
/// metric and path.
pub const MAX_NAME: usize = 63;

/// Checks that `text` is a valid name: 1 to [`MAX_NAME`] characters of `[A-Za-z0-9._-]`, the first of them
/// alphanumeric.
///
/// # Errors
/// Returns [`ValueError::Name`], whose message describes a valid name.
pub fn check_name(text: &str) -> Result<(), ValueError> {
    let valid_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let fits = text.len() <= MAX_NAME;
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if valid_start && fits && text.chars().all(allowed) {
        return Ok(());
    }
    Err(ValueError::Name {
        text: text.chars().take(MAX_NAME).collect(),
    })
}

macro_rules! name {
    ($(#[$doc:meta] $name:ident;)*) => {$(
        #[$doc]
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ValueError;

            fn from_str(text: &str) -> Result<Self, ValueError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

name! {
    /// The name of a model, as callers send it in a request.
    ModelName;
    /// The name of a deployment.
    DeploymentName;
    /// The name of a pool of instances.
    PoolName;
    /// The name of a routing rule.
    RuleName;
    /// The name of an instance: an entry or a target with its agent.
    InstanceName;
    /// The name of an availability zone.
    ZoneName;
    /// The name of a region.
    RegionName;
    /// The name of an organisation that callers belong to.
    OrgName;
}
