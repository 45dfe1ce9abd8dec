//! The steps of the random search for faults.

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;

/// One step of a run. A `u8` picks among the replicas that the step can affect.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time passes, in milliseconds.
    Run(u16),
    /// A caller proposes to a replica that considers itself the leader.
    Propose(u8),
    /// A caller sends an earlier request again.
    Resend(u8),
    /// A caller reads from a replica that considers itself the leader.
    Read(u8),
    /// A replica's process dies.
    Kill(u8),
    /// The leader's process dies.
    KillLeader,
    /// A replica's process dies at one of its next operations on the disk.
    CrashAt(u8, u8),
    /// A replica that is down starts.
    Start(u8),
    /// A replica freezes, for a time in milliseconds.
    Freeze(u8, u16),
    /// A replica freezes together with its clock, for a time in milliseconds.
    Suspend(u8, u16),
    /// The leader freezes, for a time in milliseconds.
    FreezeLeader(u16),
    /// All messages to and from a replica are lost.
    Isolate(u8),
    /// All messages to and from the leader are lost.
    IsolateLeader,
    /// All messages from one replica to another are lost.
    CutOneWay(u8, u8),
    /// All links work again.
    Heal,
    /// The given percentage of messages is lost, and as many are duplicated.
    Lose(u8),
    /// A replica takes a snapshot.
    Snapshot(u8),
    /// A replica's disk has only the given number of bytes left.
    Full(u8, u8),
    /// All disks have space again.
    Space,
    /// A replica's disk is lost; it comes back with an empty one.
    LoseDisk(u8),
    /// The leader adds a replica as a learner.
    Learner(u8),
    /// The leader adds a replica that it does not know as a learner.
    Stranger(u8),
    /// The leader makes a learner a voter.
    Promote(u8),
    /// The leader removes a member.
    Remove(u8),
    /// The leader transfers the leadership.
    Transfer(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let pick = any::<u8>;
    prop_oneof![
        14 => (1_u16..600).prop_map(Step::Run),
        14 => (600_u16..4_000).prop_map(Step::Run),
        20 => pick().prop_map(Step::Propose),
        4 => pick().prop_map(Step::Resend),
        10 => pick().prop_map(Step::Read),
        1 => pick().prop_map(Step::Kill),
        2 => proptest::strategy::Just(Step::KillLeader),
        2 => (pick(), 0_u8..20).prop_map(|(n, ops)| Step::CrashAt(n, ops)),
        12 => pick().prop_map(Step::Start),
        1 => (pick(), 100_u16..6_000).prop_map(|(n, ms)| Step::Freeze(n, ms)),
        1 => (pick(), 100_u16..6_000).prop_map(|(n, ms)| Step::Suspend(n, ms)),
        2 => (100_u16..6_000).prop_map(Step::FreezeLeader),
        1 => pick().prop_map(Step::Isolate),
        2 => proptest::strategy::Just(Step::IsolateLeader),
        3 => (pick(), pick()).prop_map(|(a, b)| Step::CutOneWay(a, b)),
        10 => proptest::strategy::Just(Step::Heal),
        2 => (0_u8..30).prop_map(Step::Lose),
        6 => pick().prop_map(Step::Snapshot),
        1 => (pick(), pick()).prop_map(|(n, bytes)| Step::Full(n, bytes)),
        4 => proptest::strategy::Just(Step::Space),
        1 => pick().prop_map(Step::LoseDisk),
        1 => pick().prop_map(Step::Learner),
        4 => pick().prop_map(Step::Stranger),
        8 => pick().prop_map(Step::Promote),
        3 => pick().prop_map(Step::Remove),
        1 => pick().prop_map(Step::Transfer),
    ]
}

/// Generates a seed for the random choices of a run, the number of first voters, and the steps.
pub fn script() -> impl Strategy<Value = (u64, usize, Vec<Step>)> {
    (any::<u64>(), 2_usize..=5, vec(step(), 100..200))
}
