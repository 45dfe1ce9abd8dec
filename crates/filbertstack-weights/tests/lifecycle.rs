//! Tests the states of versions under random faults against a model.
//!
//! The model knows which chunk files are intact, because the test causes every fault itself, and which
//! state each version must have. The variable `FILBERTSTACK_FUZZ_CASES` sets the number of cases.

mod support;

use std::collections::BTreeMap;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use tempfile::TempDir;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_policy::spread::chunks::ChunkSet;
use filbertstack_policy::spread::pull::Fault;
use filbertstack_policy::spread::pull::Proximity;
use filbertstack_policy::spread::pull::PullConfig;
use filbertstack_policy::spread::pull::RingPosition;
use filbertstack_weights::Store;
use filbertstack_weights::copy::CopyScheduler;
use filbertstack_weights::version::Draining;
use filbertstack_weights::version::Fetching;
use filbertstack_weights::version::Loading;
use filbertstack_weights::version::Serving;
use filbertstack_weights::version::Verified;
use filbertstack_weights::version::Version;

use support::Sample;
use support::peer::Behaviour;
use support::peer::MemoryPeer;
use support::peer::flip;
use support::sample;

const VERSIONS: usize = 2;

/// The store's limit, which is exactly the size of both versions with their common first file.
const STORE_LIMIT: u64 = 300 + 500 + 500;

/// The number of cases if `FILBERTSTACK_FUZZ_CASES` is not set.
const DEFAULT_CASES: u32 = 48;

static SERVED: AtomicU32 = AtomicU32::new(0);
static REFUSED: AtomicU32 = AtomicU32::new(0);

#[derive(Clone, Debug)]
enum Step {
    Declare(usize),
    Remove(usize),
    Fetch(usize, Behaviour),
    Damage(usize, usize),
    Verify(usize),
    Load(usize),
    Report(usize, usize),
    Fail(usize),
    Unload(usize),
    Drain(usize),
    Restart,
}

/// The empty state of the generator, since every step is possible in every state.
#[derive(Clone, Debug)]
struct NoState;

impl ReferenceStateMachine for NoState {
    type State = NoState;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<NoState> {
        Just(NoState).boxed()
    }

    fn transitions(_: &NoState) -> BoxedStrategy<Step> {
        let version = 0..VERSIONS;
        let behaviour = prop_oneof![
            6 => Just(Behaviour::Good),
            1 => Just(Behaviour::Corrupt),
            1 => Just(Behaviour::Fails(Fault::Down)),
        ];
        prop_oneof![
            6 => version.clone().prop_map(Step::Declare),
            1 => version.clone().prop_map(Step::Remove),
            12 => (5..30_usize, behaviour).prop_map(|(count, b)| Step::Fetch(count, b)),
            1 => (version.clone(), 0..13_usize).prop_map(|(v, at)| Step::Damage(v, at)),
            12 => version.clone().prop_map(Step::Verify),
            12 => version.clone().prop_map(Step::Load),
            8 => version.clone().prop_map(|v| Step::Report(v, v)),
            2 => (version.clone(), 0..=VERSIONS).prop_map(|(v, r)| Step::Report(v, r)),
            1 => version.clone().prop_map(Step::Fail),
            1 => version.clone().prop_map(Step::Unload),
            1 => version.prop_map(Step::Drain),
            1 => Just(Step::Restart),
        ]
        .boxed()
    }

    fn apply(state: NoState, _: &Step) -> NoState {
        state
    }
}

/// A version in any of its states.
enum Slot {
    Fetching(Version<Fetching>),
    Verified(Version<Verified>),
    Loading(Version<Loading>),
    Serving(Version<Serving>),
    Draining(Version<Draining>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Absent,
    Fetching,
    Verified,
    Loading,
    Serving,
    Draining,
}

struct Agent {
    dir: TempDir,
    samples: Vec<Sample>,
    store: Arc<Store>,
    scheduler: CopyScheduler,
    slots: Vec<Option<Slot>>,
    now: Millis,
    /// The chunks on disk, with whether their bytes are intact.
    intact: BTreeMap<Digest, bool>,
    expected: [Phase; VERSIONS],
}

impl StateMachineTest for Agent {
    type SystemUnderTest = Agent;
    type Reference = NoState;

    fn init_test(_: &NoState) -> Agent {
        let dir = tempfile::tempdir().unwrap();
        let store = Arc::new(Store::open(dir.path(), STORE_LIMIT).unwrap());
        Agent {
            dir,
            samples: vec![sample(1), sample(2)],
            scheduler: CopyScheduler::new(store.clone(), PullConfig::default(), 1),
            store,
            slots: vec![None, None],
            now: Millis::ZERO,
            intact: BTreeMap::new(),
            expected: [Phase::Absent; VERSIONS],
        }
    }

    fn apply(mut agent: Agent, _: &NoState, step: Step) -> Agent {
        agent.run_step(step);
        agent
    }

    fn check_invariants(agent: &Agent, _: &NoState) {
        for (at, slot) in agent.slots.iter().enumerate() {
            assert_eq!(phase(slot.as_ref()), agent.expected[at]);
            if let Some(Slot::Serving(version)) = slot {
                let roots = agent.samples.iter().map(|sample| sample.manifest.root());
                let answered: Vec<_> = roots.filter(|root| version.answers(*root)).collect();
                assert_eq!(answered, [agent.samples[at].manifest.root()]);
            }
        }
        assert!(agent.store.usage().bytes <= STORE_LIMIT);
    }
}

impl Agent {
    fn run_step(&mut self, step: Step) {
        match step {
            Step::Declare(at) => self.declare(at),
            Step::Remove(at) => self.remove(at),
            Step::Fetch(count, behaviour) => self.fetch(count, behaviour),
            Step::Damage(at, chunk) => self.damage(at, chunk),
            Step::Verify(at) => self.verify(at),
            Step::Restart => self.restart(),
            step => self.engine_step(&step),
        }
    }

    fn declare(&mut self, at: usize) {
        if self.slots[at].is_some() {
            return;
        }
        let manifest = self.samples[at].manifest.clone();
        let version = Version::declare(manifest.clone(), self.store.clone()).unwrap();
        self.slots[at] = Some(Slot::Fetching(version.fetch()));
        self.scheduler.add_version(manifest);
        self.expected[at] = Phase::Fetching;
    }

    fn remove(&mut self, at: usize) {
        self.slots[at] = None;
        self.scheduler
            .remove_version(self.samples[at].manifest.root());
        self.expected[at] = Phase::Absent;
    }

    /// Makes `count` fetches from peers that hold all chunks and answer according to `behaviour`.
    fn fetch(&mut self, count: usize, behaviour: Behaviour) {
        let keys: Vec<_> = (0..VERSIONS)
            .map(|at| {
                let sample = &self.samples[at];
                let peer = Arc::new(MemoryPeer::with(&sample.bytes, behaviour));
                let (proximity, place, places) = (Proximity::Zone, 0, 1);
                let position = RingPosition {
                    proximity,
                    place,
                    places,
                };
                let key = self.scheduler.add_peer(peer, position);
                let all = ChunkSet::full(sample.bytes.len());
                self.scheduler
                    .announce(key, sample.manifest.root(), all.iter());
                key
            })
            .collect();
        for _ in 0..count {
            self.now = self.now + Millis::secs(1);
            self.scheduler.tick(self.now);
            let Some(job) = self.scheduler.next_job(self.now) else {
                break;
            };
            let digest = job.location.chunk.digest;
            let result = job
                .source
                .fetch_into(&job.location, &self.store)
                .map(|_| ());
            if result.is_ok() {
                // A chunk that the store holds already is not rewritten, so damage remains.
                self.intact.entry(digest).or_insert(true);
            }
            self.scheduler.record_result(&job, result, self.now);
        }
        for key in keys {
            self.scheduler.remove_peer(key);
        }
    }

    fn damage(&mut self, at: usize, chunk: usize) {
        let digest = self.samples[at].manifest.chunks()[chunk].digest;
        if let Some(intact) = self.intact.get_mut(&digest) {
            let path = self.dir.path().join("chunks").join(digest.to_string());
            fs::write(path, flip(&self.samples[at].bytes[chunk])).unwrap();
            *intact = false;
        }
    }

    fn verify(&mut self, at: usize) {
        let Some(Slot::Fetching(version)) =
            self.slots[at].take_if(|s| matches!(s, Slot::Fetching(_)))
        else {
            return;
        };
        let chunks = self.samples[at].manifest.chunks();
        let whole = chunks
            .iter()
            .all(|chunk| self.intact.get(&chunk.digest) == Some(&true));
        match version.verify() {
            Ok(version) => {
                assert!(whole, "verified with a chunk missing or damaged");
                self.slots[at] = Some(Slot::Verified(version));
                self.expected[at] = Phase::Verified;
            }
            Err(refused) => {
                assert!(!whole, "refused a whole version");
                let missing = refused.version.missing();
                self.scheduler
                    .mark_missing(refused.version.root(), &missing);
                for at in missing.iter().map(|at| *at as usize) {
                    self.intact.remove(&chunks[at].digest);
                }
                self.slots[at] = Some(Slot::Fetching(refused.version));
                REFUSED.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Applies a step of the engine if the version's state allows it.
    fn engine_step(&mut self, step: &Step) {
        let (Step::Load(at)
        | Step::Report(at, _)
        | Step::Fail(at)
        | Step::Unload(at)
        | Step::Drain(at)) = *step
        else {
            return;
        };
        let before = self.expected[at];
        let slot = self.slots[at].take();
        let root = |of: usize| self.samples.get(of).map(|sample| sample.manifest.root());
        self.slots[at] = match (slot, step) {
            (Some(Slot::Verified(version)), Step::Load(_)) => Some(Slot::Loading(version.load())),
            (Some(Slot::Loading(version)), Step::Report(_, of)) => {
                let reported = root(*of).unwrap_or(Digest::of(b"another"));
                match version.serve(reported) {
                    Ok(version) => Some(Slot::Serving(version)),
                    Err(refused) => Some(Slot::Verified(refused.version)),
                }
            }
            (Some(Slot::Loading(version)), Step::Fail(_)) => Some(Slot::Verified(version.fail())),
            (Some(Slot::Serving(version)), Step::Unload(_)) => {
                Some(Slot::Verified(version.mark_unloaded()))
            }
            (Some(Slot::Serving(version)), Step::Drain(_)) => Some(Slot::Draining(version.drain())),
            (Some(Slot::Draining(version)), Step::Drain(_)) => {
                Some(Slot::Fetching(version.end().fetch()))
            }
            (slot, _) => slot,
        };
        self.expected[at] = match (before, step) {
            (Phase::Verified, Step::Load(_)) => Phase::Loading,
            (Phase::Loading, Step::Report(at, of)) if at == of => Phase::Serving,
            (Phase::Loading, Step::Report(..) | Step::Fail(_))
            | (Phase::Serving, Step::Unload(_)) => Phase::Verified,
            (Phase::Serving, Step::Drain(_)) => Phase::Draining,
            (Phase::Draining, Step::Drain(_)) => Phase::Fetching,
            (phase, _) => phase,
        };
        if before != Phase::Serving && self.expected[at] == Phase::Serving {
            SERVED.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Simulates that the process is killed and starts again with the same disk.
    fn restart(&mut self) {
        self.slots = vec![None, None];
        self.expected = [Phase::Absent; VERSIONS];
        self.store = Arc::new(Store::open(self.dir.path(), STORE_LIMIT).unwrap());
        self.scheduler = CopyScheduler::new(self.store.clone(), PullConfig::default(), 1);
    }
}

fn phase(slot: Option<&Slot>) -> Phase {
    match slot {
        None => Phase::Absent,
        Some(Slot::Fetching(_)) => Phase::Fetching,
        Some(Slot::Verified(_)) => Phase::Verified,
        Some(Slot::Loading(_)) => Phase::Loading,
        Some(Slot::Serving(_)) => Phase::Serving,
        Some(Slot::Draining(_)) => Phase::Draining,
    }
}

// In random order, versions are declared, fetched from peers that fail or send damaged bytes, damaged on
// disk, loaded by engines that may report another version, and removed, and the process is restarted.
// A version becomes verified only if each of its chunks is intact at that moment, and only a verified
// version is loaded and served.
#[test]
fn no_version_serves_unless_every_chunk_is_intact() {
    let cases = std::env::var("FILBERTSTACK_FUZZ_CASES");
    let cases = cases.map_or(DEFAULT_CASES, |cases| {
        cases.parse().expect("a number of cases")
    });
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let steps = NoState::sequential_strategy(60..160);
    let run = |(state, steps, seen)| {
        Agent::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    };
    runner.run(&steps, run).unwrap();
    let (served, refused) = (
        SERVED.load(Ordering::Relaxed),
        REFUSED.load(Ordering::Relaxed),
    );
    println!("{cases} cases: {served} times served, {refused} verifications refused");
    assert!(
        served >= cases / 4 && refused >= cases,
        "the cases reach too little"
    );
}
