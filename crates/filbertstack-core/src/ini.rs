//! This module parses INI files and keeps the line number of every key, so that each error can point at its
//! cause.
//!
//! A reader takes the keys that it knows out of a [`Section`]; [`Section::finish`] then reports every key
//! that was not taken. All errors of a file are collected in one [`Problems`].

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use ini_core::Item;
use ini_core::Parser;
use thiserror::Error;

use crate::error::ValueError;

/// One error in a file, with its position, the expected form and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {what}")]
pub struct Problem {
    /// The name of the file, as the caller gave it.
    pub file: Arc<str>,
    /// The line number, counted from 1.
    pub line: usize,
    /// The description of the error and its remedy.
    pub what: String,
}

/// All errors of a file; [`Problems::into_result`] sorts them by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// Returns `Ok(value)` if there are no problems.
    ///
    /// # Errors
    /// Returns all problems, sorted by line.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by_key(|problem| problem.line);
        Err(self)
    }
}

impl std::error::Error for Problems {}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            let newline = if i == 0 { "" } else { "\n" };
            write!(f, "{newline}{problem}")?;
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
struct Property {
    key: String,
    value: String,
    line: usize,
    taken: bool,
}

/// One section of a file and its keys.
#[derive(Clone, Debug)]
pub struct Section {
    /// The first word of the header: `deployment` in `[deployment drafting]`.
    pub kind: String,
    /// The rest of the header: `drafting`; empty if there is none.
    pub title: String,
    /// The line number of the header.
    pub line: usize,
    file: Arc<str>,
    properties: Vec<Property>,
}

impl Section {
    /// Creates a problem in this section's file at `line`.
    pub fn problem(&self, line: usize, what: impl fmt::Display) -> Problem {
        Problem {
            file: self.file.clone(),
            line,
            what: what.to_string(),
        }
    }

    /// Returns whether the section has `key`.
    pub fn has(&self, key: &str) -> bool {
        self.properties.iter().any(|property| property.key == key)
    }

    /// Takes the value of `key` and returns it with its line; returns `None` if it is absent or already
    /// taken.
    pub fn take(&mut self, key: &str) -> Option<(String, usize)> {
        let property = self
            .properties
            .iter_mut()
            .find(|property| property.key == key && !property.taken)?;
        property.taken = true;
        Some((property.value.clone(), property.line))
    }

    /// Takes all keys with their values, in a section whose keys are names that the operator chooses.
    pub fn take_all(&mut self) -> Vec<(String, String)> {
        let left = self
            .properties
            .iter_mut()
            .filter(|property| !property.taken);
        left.map(|property| {
            property.taken = true;
            (property.key.clone(), property.value.clone())
        })
        .collect()
    }

    /// Takes and parses `key`. Returns `None` if the key is absent or invalid; an invalid value is added to
    /// `problems`.
    pub fn read<T: FromStr<Err = E>, E: fmt::Display>(
        &mut self,
        key: &str,
        problems: &mut Problems,
    ) -> Option<T> {
        self.read_with(key, problems, T::from_str)
    }

    /// Does the same as [`Section::read`], with the given parser.
    pub fn read_with<T, E: fmt::Display>(
        &mut self,
        key: &str,
        problems: &mut Problems,
        reader: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let (text, line) = self.take(key)?;
        match reader(&text) {
            Ok(value) => Some(value),
            Err(error) => {
                problems
                    .0
                    .push(self.problem(line, format_args!("{key}: {error}")));
                None
            }
        }
    }

    /// Does the same as [`Section::read`], and reports an absent key as a problem.
    pub fn require<T: FromStr<Err = E>, E: fmt::Display>(
        &mut self,
        key: &str,
        problems: &mut Problems,
    ) -> Option<T> {
        self.require_with(key, problems, T::from_str)
    }

    /// Does the same as [`Section::require`], with the given parser.
    pub fn require_with<T, E: fmt::Display>(
        &mut self,
        key: &str,
        problems: &mut Problems,
        reader: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        if !self.has(key) {
            let what = format!("[{}] lacks the key '{key}': add it", self.header());
            problems.0.push(self.problem(self.line, what));
        }
        self.read_with(key, problems, reader)
    }

    /// Reports every key that was not taken.
    pub fn finish(&self, problems: &mut Problems) {
        for property in self.properties.iter().filter(|property| !property.taken) {
            let what = format!(
                "unknown key '{}' in [{}]: remove it or correct its spelling",
                property.key,
                self.header()
            );
            problems.0.push(self.problem(property.line, what));
        }
    }

    /// Returns the text of the header, without brackets.
    pub fn header(&self) -> String {
        if self.title.is_empty() {
            return self.kind.clone();
        }
        format!("{} {}", self.kind, self.title)
    }
}

/// The sections of a file, in the order of the file.
#[derive(Clone, Debug)]
pub struct Document {
    /// The name of the file, as the caller gave it.
    pub file: Arc<str>,
    /// The sections.
    pub sections: Vec<Section>,
}

impl Document {
    /// Parses `text`; `file` is the file name that errors report. Comments start with `;` or `#`.
    ///
    /// # Errors
    /// Returns every line that is not a header, key or comment, and every duplicate section or key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let mut document = Self {
            file: file.into(),
            sections: Vec::new(),
        };
        let mut problems = Problems::default();
        for (index, line) in text.lines().enumerate() {
            let trimmed = line.trim();
            if trimmed.is_empty() || trimmed.starts_with('#') {
                continue;
            }
            if let Err(what) = document.add_line(trimmed, index + 1) {
                let file = document.file.clone();
                problems.0.push(Problem {
                    file,
                    line: index + 1,
                    what,
                });
            }
        }
        problems.into_result(document)
    }

    fn add_line(&mut self, text: &str, line: usize) -> Result<(), String> {
        for item in Parser::new(text).auto_trim(true) {
            match item {
                Item::Section(header) => self.add_section(header, line)?,
                Item::Property(key, value) => self.add_property(key, value, line)?,
                Item::Error(_) => return Err("a header that does not end: add ']'".into()),
                Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            }
        }
        Ok(())
    }

    fn add_section(&mut self, header: &str, line: usize) -> Result<(), String> {
        let (kind, title) = header
            .trim()
            .split_once(char::is_whitespace)
            .unwrap_or((header, ""));
        let (kind, title) = (kind.trim().to_owned(), title.trim().to_owned());
        let duplicate = self
            .sections
            .iter()
            .any(|s| s.kind == kind && s.title == title);
        let file = self.file.clone();
        self.sections.push(Section {
            kind,
            title,
            line,
            file,
            properties: Vec::new(),
        });
        if duplicate {
            return Err(format!("the section [{header}] stands twice: join the two"));
        }
        Ok(())
    }

    fn add_property(&mut self, key: &str, value: Option<&str>, line: usize) -> Result<(), String> {
        let value = value.ok_or_else(|| format!("'{key}' has no value: write {key} = value"))?;
        let section = self.sections.last_mut();
        let section = section.ok_or("a key before the first section: add a [section] header")?;
        if section
            .properties
            .iter()
            .any(|property| property.key == key)
        {
            return Err(format!("the key '{key}' is given twice: keep one of them"));
        }
        let (key, value) = (key.to_owned(), value.to_owned());
        section.properties.push(Property {
            key,
            value,
            line,
            taken: false,
        });
        Ok(())
    }

    /// Removes the section `[kind]` from the document and returns it, if it is present.
    pub fn take(&mut self, kind: &str) -> Option<Section> {
        let index = self
            .sections
            .iter()
            .position(|s| s.kind == kind && s.title.is_empty())?;
        Some(self.sections.remove(index))
    }

    /// Reports every section that was not taken out of the document.
    pub fn finish(&self, problems: &mut Problems) {
        for section in &self.sections {
            let what = format!(
                "unknown section [{}]: remove it or correct its spelling",
                section.header()
            );
            problems.0.push(section.problem(section.line, what));
        }
    }
}

/// Parses `true` or `false`.
///
/// # Errors
/// Returns [`ValueError::Choice`] for any other text.
pub fn parse_bool(text: &str) -> Result<bool, ValueError> {
    match text {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(ValueError::Choice {
            text: text.into(),
            allowed: "true or false",
        }),
    }
}

/// Parses a whole number.
///
/// # Errors
/// Returns [`ValueError::Count`] if the text is not a number of type `u32`.
pub fn parse_count(text: &str) -> Result<u32, ValueError> {
    text.parse()
        .map_err(|_| ValueError::Count { text: text.into() })
}
