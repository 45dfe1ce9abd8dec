//! The plan of a case draws its steps by weight. The picks of a step are resolved when the step runs.

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest_state_machine::ReferenceStateMachine;

/// Which revision an operator expects.
#[derive(Clone, Copy, Debug)]
pub enum Expect {
    Current,
    Behind(u8),
    Any,
}

/// One step. A `pick` counts back from the latest item of its kind.
#[derive(Clone, Debug)]
pub enum Op {
    Tick(u64),
    Apply {
        operator: u8,
        expect: Expect,
        pool: u8,
        value: u8,
        remove: bool,
    },
    Resend(u8),
    Reuse(u8),
    /// Two entries claim one key in one batch.
    Claim {
        pick: u8,
        fresh: bool,
        stamped: bool,
        body: u8,
        ran: bool,
    },
    Reclaim(u8),
    Settle(u8),
    LateSettle(u8),
    Skew(u64),
    Release(u8),
    MarkUnknown(u8),
    Lead,
    Order {
        target: u8,
        value: u8,
        stale: bool,
    },
    Renew(u8),
    Restart(u8),
    Pull(u8),
}

/// The plan has no state of its own, because [`World`](crate::world::World) resolves the picks.
#[derive(Clone, Debug)]
pub struct Plan;

impl ReferenceStateMachine for Plan {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let expect = prop_oneof![
            3 => Just(Expect::Current),
            1 => (1..4_u8).prop_map(Expect::Behind),
            2 => Just(Expect::Any),
        ];
        let apply = (0..2_u8, expect, 0..4_u8, 0..3_u8, any::<u8>());
        let claim = (
            0..6_u8,
            any::<bool>(),
            any::<bool>(),
            0..8_u8,
            any::<bool>(),
        );
        prop_oneof![
            4 => (1..20_000_u64).prop_map(Op::Tick),
            6 => apply.prop_map(|(operator, expect, pool, value, remove)| Op::Apply {
                operator,
                expect,
                pool,
                value,
                remove: remove < 40,
            }),
            4 => (0..12_u8).prop_map(Op::Resend),
            1 => (0..12_u8).prop_map(Op::Reuse),
            8 => claim.prop_map(|(pick, fresh, stamped, body, ran)| Op::Claim {
                pick,
                fresh,
                stamped,
                body: u8::from(body == 0),
                ran,
            }),
            2 => (0..6_u8).prop_map(Op::Reclaim),
            4 => (0..6_u8).prop_map(Op::Settle),
            2 => (0..6_u8).prop_map(Op::Release),
            2 => (0..12_u8).prop_map(Op::LateSettle),
            1 => (0..30_000_u64).prop_map(Op::Skew),
            1 => (0..2_u8).prop_map(Op::MarkUnknown),
            1 => Just(Op::Lead),
            3 => (0..3_u8, 0..4_u8, any::<bool>()).prop_map(|(target, value, stale)| Op::Order {
                target,
                value,
                stale,
            }),
            1 => (0..3_u8).prop_map(Op::Renew),
            2 => any::<u8>().prop_map(Op::Restart),
            3 => (0..3_u8).prop_map(Op::Pull),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}
