//! Placement decides which instances hold which deployments and how the fleet reaches that state.
//!
//! The module does no I/O. The leader builds a [`Fleet`] from the agents' reports, reads the
//! declared [`DeploymentSpec`]s and the current [`Assignments`] from the replicated state, and
//! calls [`decide()`]. The returned [`Decision`] contains the desired state of every target; the
//! leader commits the entries that differ. Apart from the replicated state, a leader keeps only the
//! [`LoadFailures`], so a new leader continues where the previous one stopped.
//!
//! Load pattern: instances come and go all day (34 fail, 530 restart), a zone is lost now and then,
//! and versions change several times a day. If every change placed all deployments from scratch,
//! weights would be copied to hundreds of instances. If replicas never moved, a lost zone would
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
//! let spec = DeploymentSpec {
//!     deployment: "voice".parse().expect("a name"),
//!     version: Digest::of(b"manifest"),
//!     replicas: 1,
//!     memory: 8 << 30,
//!     pools: vec!["role=llm".parse().expect("a selector")],
//! };
//! let failures = LoadFailures::default();
//! let now = Millis::secs(60);
//! let first = decide(&fleet, &[spec.clone()], &Assignments::new(), &failures, now);
//! assert_eq!(first.changed.len(), 1);
//! let again = decide(&fleet, &[spec], &first.orders, &failures, now);
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
pub use faults::RetryState;
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
pub use place::PLACEMENT_UPTIME;
pub use place::Placement;
pub use place::REBALANCE_UPTIME;
pub use place::Shortfall;
pub use place::UNREACHABLE_GRACE;
pub use status::DRIFT_GRACE;
pub use status::DeploymentStatus;
pub use status::ReplicaCounts;
pub use status::UnmetReason;
pub use status::drifted;
pub use status::status;
