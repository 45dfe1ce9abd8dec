//! The replicated log: a pure consensus state machine and its durable storage.
//!
//! [`Node`] implements the protocol. It has no thread, clock, network or disk; its inputs are
//! messages, the time, proposals and the results of writes. [`storage::Storage`] keeps the durable
//! state in one data folder. [`Replica`] runs both with threads, applies committed commands to a
//! [`StateMachine`] and sends messages through a [`Transport`].

mod config;
mod entries;
mod formation;
mod ids;
mod machine;
mod membership;
mod message;
mod node;
mod replica;
pub mod storage;

pub use config::Limits;
pub use config::Safeguards;
pub use config::Timing;
pub use formation::Announcement;
pub use formation::Formation;
pub use ids::ClusterId;
pub use ids::NodeId;
pub use ids::Position;
pub use machine::StateMachine;
pub use membership::Change;
pub use membership::ChangeError;
pub use membership::MAX_VOTERS;
pub use membership::Member;
pub use membership::Membership;
pub use message::Append;
pub use message::AppendReply;
pub use message::Body;
pub use message::Campaign;
pub use message::Entry;
pub use message::EntryKind;
pub use message::HardState;
pub use message::Message;
pub use message::MessageError;
pub use message::Piece;
pub use message::PieceReply;
pub use message::Snapshot;
pub use message::Vote;
pub use message::VoteReply;
pub use node::Accepted;
pub use node::Answer;
pub use node::DurableState;
pub use node::Input;
pub use node::Node;
pub use node::NodeConfig;
pub use node::NodeStatus;
pub use node::Output;
pub use node::Refusal;
pub use node::RoleName;
pub use node::Ticket;
pub use node::Write;
pub use replica::Applied;
pub use replica::ProposeError;
pub use replica::Replica;
pub use replica::ReplicaSettings;
pub use replica::ReplicaStatus;
pub use replica::StartError;
pub use replica::Transport;
pub use replica::UnknownReason;
pub use replica::open_backup;
