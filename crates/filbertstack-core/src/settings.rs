//! What the settings files of all processes share: reading the file, key files and addresses.

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

/// Settings that can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {source}; give the path of a settings file that this process may read")]
    Read {
        /// The path as it was given.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file has faults.
    #[error(transparent)]
    Problems(#[from] Problems),
}

/// Reads the settings file at `path`.
///
/// # Errors
/// [`SettingsError`], with every line that does not parse.
pub fn read_document(path: &Path) -> Result<Document, SettingsError> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|source| SettingsError::Read {
        file: path.into(),
        source,
    })?;
    Ok(Document::parse(&path.display().to_string(), &text)?)
}

/// The settings file's own folder, to which its relative paths are relative.
pub fn folder(document: &Document) -> PathBuf {
    let file = Path::new(document.file.as_ref());
    file.parent().unwrap_or(Path::new("")).to_path_buf()
}

/// Takes the section `[kind]`, which must be there.
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

/// Reads addresses as `IP:port`, separated by commas.
///
/// # Errors
/// [`ValueError::Address`] names the first that does not read.
pub fn parse_addrs(text: &str) -> Result<Vec<SocketAddr>, ValueError> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    parts.map(parse_addr).collect()
}

/// Reads an address as `IP:port`.
///
/// # Errors
/// [`ValueError::Address`].
pub fn parse_addr(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse()
        .map_err(|_| ValueError::Address { text: text.into() })
}

/// Takes the path at `key` and reads that file, relative to `folder`.
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

/// One line of a key file: a name and the secret that its bearer shows.
#[derive(Clone, PartialEq, Eq)]
pub struct Credential {
    /// Who the bearer is.
    pub name: String,
    /// What the bearer shows.
    pub secret: String,
}

impl std::fmt::Debug for Credential {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Credential")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Reads a key file: a name and a secret a line, separated by white space; `#` starts a comment.
///
/// # Errors
/// The number of the first line that is not so, and what was expected.
pub fn parse_credentials(text: &str) -> Result<Vec<Credential>, CredentialError> {
    let lines = text.lines().enumerate();
    let lines = lines.map(|(index, line)| (index + 1, line.trim()));
    let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|(number, line)| parse_credential(number, line))
        .collect()
}

/// The least length of a secret, in bytes.
pub const MIN_SECRET: usize = 16;

/// A line of a key file that does not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "line {line} of the key file is not 'NAME SECRET' with a secret of {MIN_SECRET} characters \
     or more: correct or remove it"
)]
pub struct CredentialError {
    /// The line, counted from 1.
    pub line: usize,
}

fn parse_credential(line: usize, text: &str) -> Result<Credential, CredentialError> {
    let (name, secret) = text
        .split_once(char::is_whitespace)
        .ok_or(CredentialError { line })?;
    let secret = secret.trim();
    let plain = secret.len() >= MIN_SECRET && !secret.contains(char::is_whitespace);
    if !plain || crate::names::check_name(name).is_err() {
        return Err(CredentialError { line });
    }
    Ok(Credential {
        name: name.into(),
        secret: secret.into(),
    })
}
