//! This module reads settings files, key files and addresses for all processes.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

use crate::error::ValueError;
use crate::ini::Document;
use crate::ini::Problems;
use crate::ini::Section;

/// The settings of a process cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[error("{file}: {source}; give the path of a settings file that this process may read")]
    Read {
        /// The path that was given.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings file contains errors.
    #[error(transparent)]
    Problems(#[from] Problems),
}

/// Reads and parses the settings file at `path`.
///
/// # Errors
/// Returns [`SettingsError`], with every line that cannot be parsed.
pub fn read_document(path: &Path) -> Result<Document, SettingsError> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|source| SettingsError::Read {
        file: path.into(),
        source,
    })?;
    Ok(Document::parse(&path.display().to_string(), &text)?)
}

/// Returns the folder of the settings file; relative paths in the file are resolved against it.
pub fn folder(document: &Document) -> PathBuf {
    let file = Path::new(document.file.as_ref());
    file.parent().unwrap_or(Path::new("")).to_path_buf()
}

/// Takes the section `[kind]` and reports a problem if it is absent.
pub fn require_section(
    document: &mut Document,
    kind: &str,
    problems: &mut Problems,
) -> Option<Section> {
    let section = document.take(kind);
    if section.is_none() {
        let what = format!("the section [{kind}] is missing: add it");
        problems.0.push(crate::ini::Problem {
            file: document.file.clone(),
            line: 1,
            what,
        });
    }
    section
}

/// Parses a list of `IP:port` addresses that are separated by commas.
///
/// # Errors
/// Returns [`ValueError::Address`] with the first invalid address.
pub fn parse_addrs(text: &str) -> Result<Vec<SocketAddr>, ValueError> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    parts.map(parse_addr).collect()
}

/// Parses an `IP:port` address.
///
/// # Errors
/// Returns [`ValueError::Address`] if the text is not such an address.
pub fn parse_addr(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse()
        .map_err(|_| ValueError::Address { text: text.into() })
}

/// Takes the path that `key` holds, resolves it against `folder` and reads that file.
pub fn read_file(
    section: &mut Section,
    key: &str,
    folder: &Path,
    problems: &mut Problems,
) -> Option<String> {
    let (path, line) = section.take(key)?;
    let path = folder.join(path);
    match fs::read_to_string(&path) {
        Ok(text) => Some(text),
        Err(error) => {
            let what = format!(
                "{key}: {}: {error}; give the path of a file that this process may read",
                path.display()
            );
            problems.0.push(section.problem(line, what));
            None
        }
    }
}

/// A credential is one line of a key file: a name and the secret that its bearer presents.
#[derive(Clone, PartialEq, Eq)]
pub struct Credential {
    /// The name of the bearer.
    pub name: String,
    /// The secret that the bearer presents.
    pub secret: String,
}

impl std::fmt::Debug for Credential {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Credential")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Parses a key file. Each line holds a name and a secret, separated by white space; `#` starts a comment.
///
/// # Errors
/// Returns the number of the first invalid line; the message states the expected form.
pub fn parse_credentials(text: &str) -> Result<Vec<Credential>, CredentialError> {
    let lines = text.lines().enumerate();
    let lines = lines.map(|(index, line)| (index + 1, line.trim()));
    let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|(number, line)| parse_credential(number, line))
        .collect()
}

/// The minimum length of a secret, in bytes.
pub const MIN_SECRET_LEN: usize = 16;

/// A line of a key file cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "line {line} of the key file is not 'NAME SECRET' with a secret of {MIN_SECRET_LEN} characters \
     or more: correct or remove it"
)]
pub struct CredentialError {
    /// The line number, counted from 1.
    pub line: usize,
}

fn parse_credential(line: usize, text: &str) -> Result<Credential, CredentialError> {
    let (name, secret) = text
        .split_once(char::is_whitespace)
        .ok_or(CredentialError { line })?;
    let secret = secret.trim();
    let valid_secret = secret.len() >= MIN_SECRET_LEN && !secret.contains(char::is_whitespace);
    if !valid_secret || crate::names::check_name(name).is_err() {
        return Err(CredentialError { line });
    }
    Ok(Credential {
        name: name.into(),
        secret: secret.into(),
    })
}
