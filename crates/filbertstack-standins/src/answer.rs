//! The answers of an engine: each token is a pure function of the weights, the prompt and the token's index.

use std::fs;
use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use filbertstack_core::Digest;

use crate::error::StandinError;

const ONSETS: [&str; 16] = [
    "b", "d", "f", "g", "h", "k", "l", "m", "n", "p", "r", "s", "t", "v", "w", "z",
];
const VOWELS: [&str; 8] = ["a", "e", "i", "o", "u", "ai", "ea", "ou"];

/// The syllables of a token's word: with 128 different syllables, two words are equal once in two million.
const SYLLABLES_PER_TOKEN: usize = 3;

/// Returns the text of the token at `index`; every token but the first starts with a space.
pub fn token(weights: &Digest, prompt: &str, index: usize) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(weights.as_bytes());
    hasher.update(&(index as u64).to_le_bytes());
    hasher.update(prompt.as_bytes());
    let hash = hasher.finalize();
    let mut text = String::with_capacity(12);
    if index > 0 {
        text.push(' ');
    }
    for pair in hash.as_bytes().chunks_exact(2).take(SYLLABLES_PER_TOKEN) {
        text.push_str(ONSETS[usize::from(pair[0]) % ONSETS.len()]);
        text.push_str(VOWELS[usize::from(pair[1]) % VOWELS.len()]);
    }
    text
}

/// Returns the tokens of a whole answer. An engine always generates exactly `max_tokens` of them.
pub fn tokens(weights: &Digest, prompt: &str, max_tokens: usize) -> Vec<String> {
    let token_at = |index| token(weights, prompt, index);
    (0..max_tokens).map(token_at).collect()
}

/// Returns the text of a whole answer.
pub fn text(weights: &Digest, prompt: &str, max_tokens: usize) -> String {
    tokens(weights, prompt, max_tokens).concat()
}

/// Returns the prompt of a chat, made of its messages as pairs of role and content.
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let mut prompt = String::new();
    for (role, content) in messages {
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(content);
        prompt.push('\n');
    }
    prompt
}

/// Returns the digest of the weights in `dir`: BLAKE3 over the relative path and the bytes of every file,
/// sorted by path.
///
/// The length of each path and of each content is hashed before it, so that bytes moved between names and
/// contents change the digest. A file that is missing, truncated or from another version changes it too.
///
/// # Errors
/// Returns an error if a directory or file cannot be read or if the directory has no files.
pub fn weights_digest(dir: &Path) -> Result<Digest, StandinError> {
    let mut files = Vec::new();
    list_files(dir, Path::new(""), &mut files)?;
    if files.is_empty() {
        return Err(StandinError::Empty { path: dir.into() });
    }
    files.sort();
    let mut hasher = blake3::Hasher::new();
    for name in &files {
        let bytes = name.as_os_str().as_encoded_bytes();
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
        hash_file(&dir.join(name), &mut hasher)?;
    }
    Ok(Digest::from_slice(hasher.finalize().as_bytes()).unwrap_or_else(|| Digest::of(b"")))
}

/// Hashes the content in a hasher of its own, because its length is known only at the end of the file.
fn hash_file(path: &Path, into: &mut blake3::Hasher) -> Result<(), StandinError> {
    let read_error = |source| StandinError::Read {
        path: path.into(),
        source,
    };
    let file = File::open(path).map_err(read_error)?;
    let mut content = blake3::Hasher::new();
    content
        .update_reader(BufReader::new(file))
        .map_err(read_error)?;
    into.update(&content.count().to_le_bytes());
    into.update(content.finalize().as_bytes());
    Ok(())
}

fn list_files(root: &Path, subdir: &Path, into: &mut Vec<PathBuf>) -> Result<(), StandinError> {
    let dir = root.join(subdir);
    let read_error = |source| StandinError::Read {
        path: dir.clone(),
        source,
    };
    for entry in fs::read_dir(&dir).map_err(read_error)? {
        let entry = entry.map_err(read_error)?;
        let name = subdir.join(entry.file_name());
        if entry.file_type().map_err(read_error)?.is_dir() {
            list_files(root, &name, into)?;
        } else {
            into.push(name);
        }
    }
    Ok(())
}
