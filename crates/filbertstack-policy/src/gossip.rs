//! This module keeps the membership: which entries and targets exist, spread by gossip among the
//! entries.
//!
//! Each entry keeps a row for every instance. Only the instance itself raises its row's version;
//! other entries may only mark a version as suspect, and the instance refutes that with a higher
//! version. An entry exchanges messages with [`Settings::neighbour_count`] neighbours chosen by
//! rendezvous hash and with the entries that chose it, so that a node has about a dozen links
//! whatever the size of the fleet. A message carries at most [`Settings::message_bytes`] of rows;
//! only the pages of a comparison are larger. A target announces itself to three entries of its
//! region ([`home_entries`]), which monitor it.
//!
//! Load pattern: a trickle of changes (564 instances come or go per day) interrupted by bursts (the
//! loss of a zone removes 26 entries and 154 targets, a new version changes 1,000 rows within
//! minutes). Without the limit on bytes, a burst would take link capacity from requests. Without
//! the comparison of summaries, an update lost on the network would stay lost.
//!
//! [`Gossip`] has no clock and does no I/O: [`Gossip::tick`] and [`Gossip::receive`] take the time
//! and return the messages to send.
//!
//! ```
//! use filbertstack_core::Millis;
//! use filbertstack_policy::gossip::Liveness;
//! use filbertstack_policy::gossip::Facts;
//! use filbertstack_policy::gossip::Gossip;
//! use filbertstack_policy::gossip::Row;
//! use filbertstack_policy::gossip::RowKind;
//! use filbertstack_policy::gossip::Settings;
//! use filbertstack_policy::gossip::State;
//!
//! let entry = |name: &str| Row {
//!     name: name.parse().expect("a name"),
//!     kind: RowKind::Entry,
//!     region: "bc".parse().expect("a name"),
//!     incarnation: 1,
//!     version: 1,
//!     state: State::Up,
//!     liveness: Liveness::Alive,
//!     facts: Facts::default(),
//! };
//! let (van, kel) = (entry("van-a"), entry("kel-a"));
//! let mut old = Gossip::new(van.clone(), Vec::new(), Settings::DEFAULT, 1);
//! let mut new = Gossip::new(kel.clone(), vec![van.name.clone()], Settings::DEFAULT, 2);
//! let now = Millis::secs(1);
//! for send in new.tick(now) {
//!     for answer in old.receive(&kel.name, send.message, now) {
//!         new.receive(&van.name, answer.message, now);
//!     }
//! }
//! assert!(old.row(&kel.name).is_some() && new.row(&van.name).is_some());
//! ```

mod engine;
mod entries;
mod message;
mod row;
mod settings;
mod table;

pub use engine::Gossip;
pub use entries::Departure;
pub use entries::SEEN_WITHIN;
pub use entries::entries_for_caller;
pub use entries::home_entries;
pub(crate) use entries::rendezvous_hash;
pub use message::Message;
pub use message::MessageKind;
pub use message::Outgoing;
pub use message::SUMMARY_BUCKETS;
pub use message::Summary;
pub use row::Announcement;
pub use row::Change;
pub use row::Facts;
pub use row::Liveness;
pub use row::Row;
pub use row::RowKind;
pub use row::State;
pub use settings::Settings;
