//! INI files read with the line of every key, so that each error can point at its cause.
//!
//! A reader takes the keys it knows out of a [`Section`]; [`Section::finish`] then reports every
//! key that nobody took. All errors of a file are gathered in one [`Problems`].

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use ini_core::Item;
use ini_core::Parser;
use thiserror::Error;

use crate::error::ValueError;

/// One fault of a file: where it is, what was expected and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {what}")]
pub struct Problem {
    /// The file's name as it was given.
    pub file: Arc<str>,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong and what to do about it.
    pub what: String,
}

/// Every fault of a file at once, in the order of lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl Problems {
    /// `Ok(value)` if there is no problem, all of them otherwise.
    ///
    /// # Errors
    /// The problems, sorted by line.
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
struct Entry {
    key: String,
    value: String,
    line: usize,
    taken: bool,
}

/// One section and its keys.
#[derive(Clone, Debug)]
pub struct Section {
    /// The first word of the header: `deployment` in `[deployment drafting]`.
    pub kind: String,
    /// The rest of the header: `drafting`; empty if there is none.
    pub title: String,
    /// The header's line.
    pub line: usize,
    file: Arc<str>,
    entries: Vec<Entry>,
}

impl Section {
    /// A problem of this section at `line`.
    pub fn problem(&self, line: usize, what: impl fmt::Display) -> Problem {
        Problem {
            file: self.file.clone(),
            line,
            what: what.to_string(),
        }
    }

    /// Whether the section has `key`.
    pub fn has(&self, key: &str) -> bool {
        self.entries.iter().any(|entry| entry.key == key)
    }

    /// Takes the text of `key` with its line, if it is there.
    pub fn take(&mut self, key: &str) -> Option<(String, usize)> {
        let entry = self
            .entries
            .iter_mut()
            .find(|entry| entry.key == key && !entry.taken)?;
        entry.taken = true;
        Some((entry.value.clone(), entry.line))
    }

    /// Takes and reads `key`; `None` if it is absent or wrong, in which case `problems` grows.
    pub fn read<T: FromStr<Err = E>, E: fmt::Display>(
        &mut self,
        key: &str,
        problems: &mut Problems,
    ) -> Option<T> {
        self.read_with(key, problems, T::from_str)
    }

    /// Like [`Section::read`], by the reader given.
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

    /// Like [`Section::read`], but an absent key is a problem too.
    pub fn require<T: FromStr<Err = E>, E: fmt::Display>(
        &mut self,
        key: &str,
        problems: &mut Problems,
    ) -> Option<T> {
        self.require_with(key, problems, T::from_str)
    }

    /// Like [`Section::require`], by the reader given.
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
        for entry in self.entries.iter().filter(|entry| !entry.taken) {
            let what = format!(
                "unknown key '{}' in [{}]: remove it or correct its spelling",
                entry.key,
                self.header()
            );
            problems.0.push(self.problem(entry.line, what));
        }
    }

    /// The header as it was written.
    pub fn header(&self) -> String {
        if self.title.is_empty() {
            return self.kind.clone();
        }
        format!("{} {}", self.kind, self.title)
    }
}

/// A file's sections in order.
#[derive(Clone, Debug)]
pub struct Document {
    /// The file's name as it was given.
    pub file: Arc<str>,
    /// The sections.
    pub sections: Vec<Section>,
}

impl Document {
    /// Reads `text`; `file` names it in errors. Comments start with `;` or `#`.
    ///
    /// # Errors
    /// Every line that is no header, key or comment, and every section or key given twice.
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
                Item::Property(key, value) => self.add_entry(key, value, line)?,
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
        let twice = self
            .sections
            .iter()
            .any(|s| s.kind == kind && s.title == title);
        let file = self.file.clone();
        self.sections.push(Section {
            kind,
            title,
            line,
            file,
            entries: Vec::new(),
        });
        if twice {
            return Err(format!("the section [{header}] stands twice: join the two"));
        }
        Ok(())
    }

    fn add_entry(&mut self, key: &str, value: Option<&str>, line: usize) -> Result<(), String> {
        let value = value.ok_or_else(|| format!("'{key}' has no value: write {key} = value"))?;
        let section = self.sections.last_mut();
        let section = section.ok_or("a key before the first section: add a [section] header")?;
        if section.entries.iter().any(|entry| entry.key == key) {
            return Err(format!("the key '{key}' is given twice: keep one of them"));
        }
        let (key, value) = (key.to_owned(), value.to_owned());
        section.entries.push(Entry {
            key,
            value,
            line,
            taken: false,
        });
        Ok(())
    }

    /// Takes the section `[kind]` out of the document, if it is there.
    pub fn take(&mut self, kind: &str) -> Option<Section> {
        let index = self
            .sections
            .iter()
            .position(|s| s.kind == kind && s.title.is_empty())?;
        Some(self.sections.remove(index))
    }

    /// Reports every section that was not taken.
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

/// Reads `true` or `false`.
///
/// # Errors
/// [`ValueError::Choice`].
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

/// Reads a whole number.
///
/// # Errors
/// [`ValueError::Count`].
pub fn parse_count(text: &str) -> Result<u32, ValueError> {
    text.parse()
        .map_err(|_| ValueError::Count { text: text.into() })
}
