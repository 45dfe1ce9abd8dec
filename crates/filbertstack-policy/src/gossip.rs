//! Membership: which entries and targets there are, spread by gossip among the entries.
//!
//! Each entry keeps a row for every instance. An instance alone raises its row's version; others
//! may only doubt a version, and the instance answers a doubt with a higher one. Entries talk to
//! [`Settings::view`] neighbours chosen by rendezvous hash, so that a node has a dozen links
//! whatever the size of the fleet, and no message is larger than [`Settings::bytes`] but the pages
//! of a comparison. Targets announce themselves to three entries of their region ([`home_entries`]),
//! which answer for them.
//!
//! The load pattern this answers: a trickle of changes (564 instances a day come or go) broken by
//! bursts (a zone takes 26 entries and 154 targets with it, a new version changes 1,000 rows
//! within minutes). Without a bound on bytes a burst would take the links from the requests;
//! without the comparison of summaries a rumour lost to the network would stay lost.
//!
//! [`Gossip`] has no clock and no network: [`Gossip::tick`] and [`Gossip::receive`] are given the
//! time and give back what to send.
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

mod book;
mod engine;
mod entries;
mod message;
mod row;
mod settings;

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
