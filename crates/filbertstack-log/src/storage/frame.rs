//! Frames: records with checksums and a number, each written with one sync.
//!
//! A frame is written only after the previous frame is synced. An unreadable frame that a readable
//! one follows was therefore durable once and is damaged. An unreadable frame at the very end may
//! be the result of a crash; it was then never acknowledged.

/// The first bytes of every frame.
const MAGIC: [u8; 4] = *b"FbLg";
/// The size of a frame's header, in bytes: magic, length, number, checksum of the payload, checksum
/// of the header.
const HEADER_LEN: usize = 24;
/// The unit that a disk writes atomically, in bytes.
const SECTOR_LEN: usize = 512;

/// Encodes the payload as a frame with this number.
pub fn encode(number: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_LEN + payload.len());
    bytes.extend_from_slice(&MAGIC);
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let crc = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Holds a decoded sequence of frames.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Frames<'a> {
    /// The payloads, in order.
    pub payloads: Vec<&'a [u8]>,
    /// The total size of the complete frames, in bytes.
    pub length: usize,
    /// The number of the first frame.
    pub first: u64,
    /// The way in which the sequence ends.
    pub end: End,
}

/// Describes how a sequence of frames ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum End {
    /// The last frame is complete.
    #[default]
    Whole,
    /// The last frame was cut off by a crash before it was synced.
    Torn,
    /// A frame is damaged in the way described.
    Damaged(&'static str),
}

/// Decodes a sequence of frames whose first frame may have any number.
pub fn decode(bytes: &[u8]) -> Frames<'_> {
    let mut frames = Frames::default();
    while frames.length < bytes.len() {
        let rest = &bytes[frames.length..];
        let expected = frames.first + frames.payloads.len() as u64;
        match read_frame(rest) {
            Some((number, payload)) if frames.payloads.is_empty() || number == expected => {
                if frames.payloads.is_empty() {
                    frames.first = number;
                }
                frames.payloads.push(payload);
                frames.length += HEADER_LEN + payload.len();
            }
            Some(_) => {
                frames.end = End::Damaged("a record is out of order");
                break;
            }
            None => {
                frames.end = classify_end(bytes, frames.length);
                break;
            }
        }
    }
    frames
}

/// Returns the number and payload of the frame at the start of `bytes`, if it is valid.
fn read_frame(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (number, length, crc) = read_header(bytes)?;
    let payload = bytes.get(HEADER_LEN..HEADER_LEN.checked_add(length)?)?;
    (crc32fast::hash(payload) == crc).then_some((number, payload))
}

fn read_header(bytes: &[u8]) -> Option<(u64, usize, u32)> {
    let header = bytes.get(..HEADER_LEN)?;
    let word = |at: usize| Some(u32::from_le_bytes(header.get(at..at + 4)?.try_into().ok()?));
    let valid = header.starts_with(&MAGIC) && crc32fast::hash(&header[..20]) == word(20)?;
    let number = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let length = usize::try_from(word(4)?).ok()?;
    valid.then_some((number, length, word(16)?))
}

/// Classifies the unreadable frame at `at` as torn by a crash or as damaged.
///
/// A crash leaves the frame truncated, or with whole sectors that never reached the disk and read
/// as zeros. Anything else, such as a flipped bit, changed after it was written and synced.
fn classify_end(bytes: &[u8], at: usize) -> End {
    let later = (at + 1..bytes.len()).filter(|i| bytes[*i..].starts_with(&MAGIC));
    if later.into_iter().any(|i| read_frame(&bytes[i..]).is_some()) {
        return End::Damaged("a record does not match its checksum, and sound ones follow");
    }
    let rest = &bytes[at..];
    let end = match read_header(rest) {
        None if rest.len() < HEADER_LEN => return End::Torn,
        None => bytes.len(),
        Some((_, length, _)) if rest.len() < HEADER_LEN + length => return End::Torn,
        Some((_, length, _)) => at + HEADER_LEN + length,
    };
    if has_blank_sector(bytes, at, end) {
        return End::Torn;
    }
    End::Damaged("the last record does not match its checksum")
}

fn has_blank_sector(bytes: &[u8], from: usize, to: usize) -> bool {
    let mut start = from;
    while start < to {
        let end = to.min((start / SECTOR_LEN + 1) * SECTOR_LEN);
        if bytes[start..end].iter().all(|b| *b == 0) {
            return true;
        }
        start = end;
    }
    false
}
