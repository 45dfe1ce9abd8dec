//! Placement: which instances hold which deployments, and how the fleet gets there.
//!
//! All of it is pure. The leader gathers a [`Fleet`] from agents' reports, takes the declared
//! [`DeploymentSpec`]s and the [`Assignments`] orders out of the replicated state, and calls [`decide`]. What
//! comes back is the whole desired state of every target; the leader commits what differs.
//! Nothing else is remembered but the [`LoadFailures`], so a new leader goes on where the old one
//! stopped.
//!
//! The load pattern this answers: instances come and go all day (34 fail, 530 restart), a zone is
//! lost now and then, versions change several times a day. Placed anew each time, every change
//! would copy weights to hundreds of instances; placed once and left alone, a lost zone would
//! leave everything in the zones that remained.
//!
//! ```
//! use filbertstack_core::Digest;
//! use filbertstack_core::Millis;
//! use filbertstack_policy::placement::Fleet;
//! use filbertstack_policy::placement::Health;
//! use filbertstack_policy::placement::LoadFailures;
//! use filbertstack_policy::placement::Member;
//! use filbertstack_policy::placement::Assignments;
//! use filbertstack_policy::placement::DeploymentSpec;
//! use filbertstack_policy::placement::decide;
//!
//! let labels = "role=llm, zone=van-a".parse().expect("labels");
//! let member = Member::new(labels, 16 << 30, Health::Up(Millis::ZERO));
//! let fleet = Fleet::from([("engine-1".parse().expect("a name"), member)]);
//! let want = DeploymentSpec {
//!     deployment: "voice".parse().expect("a name"),
//!     version: Digest::of(b"manifest"),
//!     replicas: 1,
//!     memory: 8 << 30,
//!     pools: vec!["role=llm".parse().expect("a selector")],
//! };
//! let faults = LoadFailures::default();
//! let now = Millis::secs(60);
//! let first = decide(&fleet, &[want.clone()], &Assignments::new(), &faults, now);
//! assert_eq!(first.changed.len(), 1);
//! let again = decide(&fleet, &[want], &first.orders, &faults, now);
//! assert!(again.changed.is_empty());
//! ```

mod decide;
mod faults;
mod fleet;
mod place;
mod roll;
mod status;

pub use decide::Decision;
pub use decide::decide;
pub use faults::LoadFailures;
pub use faults::Verdict;
pub use fleet::Assignment;
pub use fleet::Assignments;
pub use fleet::DeploymentSpec;
pub use fleet::Duty;
pub use fleet::Fleet;
pub use fleet::Health;
pub use fleet::Member;
pub use fleet::Stage;
pub use fleet::VersionState;
pub use fleet::deployment_specs;
pub use place::HOLD_DOWN;
pub use place::MOVE_AFTER;
pub use place::PLACEMENT_UPTIME;
pub use place::Placement;
pub use place::Shortfall;
pub use status::DRIFT_AFTER;
pub use status::DeploymentStatus;
pub use status::Difference;
pub use status::Why;
pub use status::drifted;
pub use status::status;
