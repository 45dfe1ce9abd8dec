//! Targets that make plain calls, and requests for them.

use filbertstack_core::Millis;
use filbertstack_policy::begin::Work;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Sharers;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::TargetRequest;
use filbertstack_policy::dispatch::TargetSpec;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Returns a target that makes plain calls.
pub fn spec(id: &str) -> TargetSpec {
    TargetSpec {
        region: None,
        evacuated: false,
        replaced: None,
        id: id.into(),
        service: "api".into(),
        slots: 4,
        local: true,
        sharers: Sharers {
            entries: 1,
            targets: 2,
            used: 2,
            preferred_by: 0,
        },
        engine: None,
        accepts_work: true,
    }
}

/// Returns a dispatcher that knows these targets.
pub fn dispatcher(ids: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(ChaCha8Rng::seed_from_u64(1));
    dispatcher.set_targets(ids.iter().map(|id| spec(id)).collect());
    dispatcher
}

/// Chooses a target for a plain call.
pub fn choose(dispatcher: &mut Dispatcher, now: Millis) -> Result<TargetId, ChooseError> {
    let wanted = TargetRequest {
        contender: None,
        residency: None,
        service: "api",
        prompt: 0,
        goal: Millis(500),
        tried: &[],
        work: Work::default(),
    };
    dispatcher.choose(now, &wanted)
}
