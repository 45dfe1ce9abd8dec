//! Tests the copier with peers, a weight store and an origin that fail in different ways.

mod support;

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_core::declare::Weigh;
use filbertstack_policy::spread::chunks::ChunkSet;
use filbertstack_policy::spread::grants::Grant;
use filbertstack_policy::spread::grants::GrantConfig;
use filbertstack_policy::spread::grants::Grants;
use filbertstack_policy::spread::plan::Plan;
use filbertstack_policy::spread::plan::PlanConfig;
use filbertstack_policy::spread::plan::Target;
use filbertstack_policy::spread::pull::Proximity;
use filbertstack_policy::spread::pull::PullConfig;
use filbertstack_policy::spread::pull::RingPosition;
use filbertstack_weights::Store;
use filbertstack_weights::copy::Copier;
use filbertstack_weights::copy::CopyConfig;
use filbertstack_weights::copy::CopyEvent;
use filbertstack_weights::copy::CopyScheduler;
use filbertstack_weights::fetch::AnySource;
use filbertstack_weights::fetch::Fault;

use support::Sample;
use support::peer::Behaviour;
use support::peer::MemoryPeer;
use support::peer::StorePeer;
use support::sample;

/// The time limit for a wait, reached only when a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn position(place: u32, places: u32) -> RingPosition {
    let proximity = Proximity::Zone;
    RingPosition {
        proximity,
        place,
        places,
    }
}

fn scheduler() -> (CopyScheduler, Arc<Store>) {
    let store = Arc::new(Store::memory(100_000));
    (
        CopyScheduler::new(store.clone(), PullConfig::default(), 1),
        store,
    )
}

fn add_peer(scheduler: &mut CopyScheduler, sample: &Sample, peer: &Arc<MemoryPeer>, place: u32) {
    let key = scheduler.add_peer(peer.clone(), position(place, 2));
    let all = ChunkSet::full(sample.bytes.len());
    scheduler.announce(key, sample.manifest.root(), all.iter());
}

/// Runs the fetches one after the other for two minutes of simulated time, one in each turn.
fn run_jobs(scheduler: &mut CopyScheduler, store: &Store) -> Vec<CopyEvent> {
    let turn = PullConfig::default().turn_length;
    let mut events = Vec::new();
    let mut now = Millis::ZERO;
    while now < Millis::secs(120) {
        events.extend(scheduler.tick(now));
        let job = scheduler.next_job(now);
        now = now + turn;
        if let Some(job) = job {
            let result = job.source.fetch_into(&job.location, store).map(|_| ());
            events.extend(scheduler.record_result(&job, result, now));
        }
    }
    events
}

fn count_complete(events: &[CopyEvent], sample: &Sample) -> usize {
    let root = sample.manifest.root();
    events
        .iter()
        .filter(|event| **event == CopyEvent::Complete { root })
        .count()
}

#[test]
fn each_chunk_is_fetched_once_from_two_peers() {
    let sample = sample(1);
    let (mut scheduler, store) = scheduler();
    let peers = [(); 2].map(|()| Arc::new(MemoryPeer::new(&sample.bytes)));
    scheduler.add_version(sample.manifest.clone());
    (0..)
        .zip(&peers)
        .for_each(|(place, peer)| add_peer(&mut scheduler, &sample, peer, place));
    let events = run_jobs(&mut scheduler, &store);
    assert_eq!(count_complete(&events, &sample), 1);
    assert_eq!(peers[0].count() + peers[1].count(), sample.bytes.len());
    // Both peers get about half of the requests.
    assert!(peers.iter().all(|peer| peer.count() >= 6));
}

// One of two upstreams fails in each possible way. The copy must complete from the other upstream:
// nothing that the failing one sends is stored, and it gets only a limited number of requests.
#[test]
fn a_copy_completes_despite_a_failing_peer() {
    let behaviours = [
        Behaviour::Corrupt,
        Behaviour::Fails(Fault::Down),
        Behaviour::Fails(Fault::Stalled),
        Behaviour::Fails(Fault::Stale),
        Behaviour::Fails(Fault::Wrong),
        Behaviour::Fails(Fault::Missing),
    ];
    for behaviour in behaviours {
        let sample = sample(1);
        let (mut scheduler, store) = scheduler();
        let bad = Arc::new(MemoryPeer::with(&sample.bytes, behaviour));
        let good = Arc::new(MemoryPeer::new(&sample.bytes));
        scheduler.add_version(sample.manifest.clone());
        add_peer(&mut scheduler, &sample, &bad, 0);
        add_peer(&mut scheduler, &sample, &good, 1);
        let events = run_jobs(&mut scheduler, &store);
        assert_eq!(count_complete(&events, &sample), 1, "{behaviour:?}");
        assert_eq!(good.count(), sample.bytes.len(), "{behaviour:?}");
        assert!(
            bad.count() <= 13,
            "{behaviour:?}: asked {} times",
            bad.count()
        );
    }
}

#[test]
fn an_upstream_that_keeps_failing_is_reported_once() {
    let sample = sample(1);
    let (mut scheduler, store) = scheduler();
    let bad = Arc::new(MemoryPeer::with(
        &sample.bytes,
        Behaviour::Fails(Fault::Down),
    ));
    scheduler.add_version(sample.manifest.clone());
    add_peer(&mut scheduler, &sample, &bad, 0);
    let events = run_jobs(&mut scheduler, &store);
    let worn = events
        .iter()
        .filter(|event| matches!(event, CopyEvent::UpstreamFailing { .. }));
    assert_eq!(worn.count(), 1);
    // The delays between requests grow, so that two minutes allow only a few. Meanwhile the leader is
    // asked for the chunks.
    assert!(bad.count() < 15, "asked {} times", bad.count());
    assert!(
        events
            .iter()
            .any(|event| matches!(event, CopyEvent::Escalate { .. }))
    );
}

// A second version is published while the first is being copied. Chunks that belong to both versions
// are fetched only once, and both versions complete.
#[test]
fn a_chunk_of_two_versions_is_fetched_once() {
    let (one, two) = (sample(1), sample(2));
    let (mut scheduler, store) = scheduler();
    let peers = [&one, &two].map(|sample| Arc::new(MemoryPeer::new(&sample.bytes)));
    scheduler.add_version(one.manifest.clone());
    add_peer(&mut scheduler, &one, &peers[0], 0);
    let job = scheduler.next_job(Millis::ZERO).unwrap();
    scheduler.add_version(two.manifest.clone());
    add_peer(&mut scheduler, &two, &peers[1], 1);
    let result = job.source.fetch_into(&job.location, &store).map(|_| ());
    scheduler.record_result(&job, result, Millis::ZERO);
    let events = run_jobs(&mut scheduler, &store);
    assert_eq!(
        (count_complete(&events, &one), count_complete(&events, &two)),
        (1, 1)
    );
    // The versions have five chunks in common.
    assert_eq!(peers[0].count() + peers[1].count(), 13 + 13 - 5);
}

// Two versions with common chunks are copied at the same time, with enough upstreams to request all
// chunks at once. No chunk may be requested twice.
#[test]
fn no_chunk_has_two_transfers() {
    let (one, two) = (sample(1), sample(2));
    let config = PullConfig {
        max_transfers: 64,
        ..PullConfig::default()
    };
    let mut scheduler = CopyScheduler::new(Arc::new(Store::memory(100_000)), config, 1);
    for sample in [&one, &two] {
        scheduler.add_version(sample.manifest.clone());
        for _ in 0..20 {
            let peer = Arc::new(MemoryPeer::new(&sample.bytes));
            add_peer(&mut scheduler, sample, &peer, 0);
        }
    }
    let jobs = std::iter::from_fn(|| scheduler.next_job(Millis::ZERO));
    let mut chunks: Vec<_> = jobs.map(|job| job.location.chunk.digest).collect();
    assert_eq!(chunks.len(), 13 + 13 - 5);
    chunks.sort_unstable();
    chunks.dedup();
    assert_eq!(chunks.len(), 13 + 13 - 5);
}

// A version is replaced during its copy, while transfers are in progress. They end after their version
// is removed, when their indices could already belong to chunks of the next version.
#[test]
fn late_transfers_of_a_removed_version_are_ignored() {
    let (one, two) = (sample(1), sample(2));
    let (mut scheduler, store) = scheduler();
    let first = Arc::new(MemoryPeer::new(&one.bytes));
    let second = Arc::new(MemoryPeer::new(&two.bytes));
    scheduler.add_version(one.manifest.clone());
    add_peer(&mut scheduler, &one, &first, 0);
    let jobs: Vec<_> = std::iter::from_fn(|| scheduler.next_job(Millis::ZERO)).collect();
    scheduler.remove_version(one.manifest.root());
    scheduler.add_version(two.manifest.clone());
    add_peer(&mut scheduler, &two, &second, 1);
    for job in jobs {
        let result = job.source.fetch_into(&job.location, &store).map(|_| ());
        scheduler.record_result(&job, result, Millis::ZERO);
    }
    assert!(scheduler.progress(one.manifest.root()).is_none());
    let events = run_jobs(&mut scheduler, &store);
    assert_eq!(
        (count_complete(&events, &one), count_complete(&events, &two)),
        (0, 1)
    );
    assert!(
        two.manifest
            .chunks()
            .iter()
            .all(|chunk| store.has(chunk.digest))
    );
}

// A grant lists the weight store before the origin. If the store sends damaged bytes, lacks the chunk,
// stalls or serves an old version, the origin is used. A store that is only busy is asked again.
#[test]
fn a_grant_falls_back_to_the_origin() {
    let faults = [
        (Behaviour::Corrupt, 1),
        (Behaviour::Fails(Fault::Missing), 1),
        (Behaviour::Fails(Fault::Stalled), 1),
        (Behaviour::Fails(Fault::Stale), 1),
        (
            Behaviour::Fails(Fault::Busy {
                after: Millis::secs(5),
            }),
            0,
        ),
    ];
    for (behaviour, asked) in faults {
        let sample = sample(1);
        let (mut scheduler, store) = scheduler();
        let weights = Arc::new(MemoryPeer::with(&sample.bytes, behaviour));
        let origin = Arc::new(MemoryPeer::new(&sample.bytes));
        scheduler.add_version(sample.manifest.clone());
        let sources: Vec<Arc<dyn AnySource>> = vec![weights.clone(), origin.clone()];
        let chunk = sample.manifest.chunks()[4].digest;
        scheduler.grant(sample.manifest.root(), chunk, sources);
        run_jobs(&mut scheduler, &store);
        assert_eq!(origin.count(), asked, "{behaviour:?}");
        assert_eq!(store.has(chunk), asked == 1);
    }
}

#[test]
fn a_grant_whose_sources_all_fail_is_returned_to_the_leader() {
    let sample = sample(1);
    let (mut scheduler, store) = scheduler();
    let origin = Arc::new(MemoryPeer::with(&sample.bytes, Behaviour::Corrupt));
    scheduler.add_version(sample.manifest.clone());
    let chunk = sample.manifest.chunks()[4].digest;
    scheduler.grant(sample.manifest.root(), chunk, vec![origin.clone()]);
    let events = run_jobs(&mut scheduler, &store);
    let fault = Fault::Corrupt;
    assert!(events.contains(&CopyEvent::GrantFailed { chunk, fault }));
    assert_eq!(origin.count(), 1);
}

// A grant arrives for a chunk that a peer has sent meanwhile. The origin is not used, and the chunk is
// reported to the leader as stored; otherwise the grant would stay open until its lease ends.
#[test]
fn a_grant_for_a_held_chunk_is_answered_at_once() {
    let sample = sample(1);
    let (mut scheduler, store) = scheduler();
    let origin = Arc::new(MemoryPeer::new(&sample.bytes));
    let peer = Arc::new(MemoryPeer::new(&sample.bytes));
    scheduler.add_version(sample.manifest.clone());
    add_peer(&mut scheduler, &sample, &peer, 0);
    run_jobs(&mut scheduler, &store);
    let chunk = sample.manifest.chunks()[4].digest;
    let events = scheduler.grant(sample.manifest.root(), chunk, vec![origin.clone()]);
    let granted = true;
    assert_eq!(events, [CopyEvent::ChunkStored { chunk, granted }]);
    run_jobs(&mut scheduler, &store);
    assert_eq!(origin.count(), 0);
}

#[test]
fn chunks_in_the_store_are_not_fetched_again() {
    let sample = sample(1);
    let dir = tempfile::tempdir().unwrap();
    let store = Store::open(dir.path(), 100_000).unwrap();
    for (chunk, bytes) in sample.manifest.chunks().iter().zip(&sample.bytes).take(10) {
        store.put(chunk.digest, bytes.clone()).unwrap();
    }
    drop(store);
    let store = Arc::new(Store::open(dir.path(), 100_000).unwrap());
    let mut scheduler = CopyScheduler::new(store.clone(), PullConfig::default(), 1);
    let peer = Arc::new(MemoryPeer::new(&sample.bytes));
    scheduler.add_version(sample.manifest.clone());
    assert_eq!(scheduler.progress(sample.manifest.root()).unwrap().held, 10);
    add_peer(&mut scheduler, &sample, &peer, 0);
    let events = run_jobs(&mut scheduler, &store);
    assert_eq!(count_complete(&events, &sample), 1);
    assert_eq!(peer.count(), 3);
}

/// One of the eleven agents: its copier with the threads, its store and its events.
struct Agent {
    copier: Copier,
    store: Arc<Store>,
    events: Receiver<CopyEvent>,
}

fn agent(seed: u64) -> Agent {
    let store = Arc::new(Store::memory(100_000));
    let (sender, events) = channel();
    let config = CopyConfig {
        pull: PullConfig::default(),
        seed,
        rate: 1 << 30,
    };
    let copier = Copier::start(store.clone(), config, sender);
    Agent {
        copier,
        store,
        events,
    }
}

// Eleven agents copy one version at the same time, and none has a chunk of it. Without grants each
// agent would fetch all chunks from the origin, which makes eleven copies. With grants it is one copy.
#[test]
fn eleven_agents_pull_one_copy_from_the_origin() {
    let sample = sample(1);
    let root = sample.manifest.root();
    let origin = Arc::new(MemoryPeer::new(&sample.bytes));
    let agents: Vec<_> = (0..11).map(agent).collect();
    let mut plan = Plan::new(PlanConfig::default());
    let mut grants = Grants::new(GrantConfig::of(Weigh::Origin));
    let target = |at: usize| Target {
        name: format!("t{at}").parse().unwrap(),
        zone: "van-a".parse().unwrap(),
        region: "van".parse().unwrap(),
    };
    let keys: Vec<_> = (0..11).map(|at| plan.join(target(at)).key).collect();
    for &key in &keys {
        grants.join(key, &"van".parse().unwrap());
    }
    grants.publish(sample.manifest.chunks().iter().map(|chunk| chunk.digest));
    let at = |key| keys.iter().position(|other| *other == key).unwrap();
    let mut downstreams = vec![Vec::new(); 11];
    for (down, agent) in agents.iter().enumerate() {
        agent.copier.add_version(sample.manifest.clone());
        for link in plan.upstreams(keys[down]) {
            let up = at(link.target);
            let source = Arc::new(StorePeer(agents[up].store.clone()));
            downstreams[up].push((down, agent.copier.add_peer(source, link.position)));
        }
    }
    let send = |grants: Vec<Grant>| {
        for grant in grants {
            let copier = &agents[at(grant.to)].copier;
            copier.grant(root, grant.chunk, vec![origin.clone()]);
        }
    };
    let mut complete = 0;
    send(grants.grant(Millis::ZERO));
    while complete < 11 {
        for (up, agent) in agents.iter().enumerate() {
            let Ok(event) = agent.events.recv_timeout(Duration::from_millis(1)) else {
                continue;
            };
            match event {
                CopyEvent::ChunkStored { chunk, granted } => {
                    if granted {
                        grants.completed(chunk, keys[up], Millis::ZERO);
                        send(grants.grant(Millis::ZERO));
                    }
                    let held = agent.copier.held_chunks(root).unwrap();
                    for &(down, key) in &downstreams[up] {
                        agents[down].copier.announce(key, root, held.iter());
                    }
                }
                CopyEvent::Complete { .. } => complete += 1,
                other => panic!("agent {up}: {other:?}"),
            }
        }
    }
    assert_eq!(origin.count(), sample.bytes.len());
    for agent in &agents {
        let missing = |chunk: &&filbertstack_weights::manifest::Chunk| {
            agent.store.get(chunk.digest).unwrap().is_none()
        };
        assert_eq!(sample.manifest.chunks().iter().filter(missing).count(), 0);
    }
}

#[test]
fn a_copier_completes_and_stops_its_threads() {
    let sample = sample(1);
    let agent = agent(1);
    agent.copier.add_version(sample.manifest.clone());
    let peer = Arc::new(MemoryPeer::new(&sample.bytes));
    let key = agent.copier.add_peer(peer, position(0, 1));
    let all = ChunkSet::full(sample.bytes.len());
    agent
        .copier
        .announce(key, sample.manifest.root(), all.iter());
    let root = sample.manifest.root();
    let complete = CopyEvent::Complete { root };
    while agent.events.recv_timeout(TEST_TIMEOUT).unwrap() != complete {}
    let progress = agent.copier.progress(root).unwrap();
    assert_eq!((progress.held, progress.total), (13, 13));
    drop(agent.copier);
    assert!(agent.events.recv_timeout(TEST_TIMEOUT).is_err());
}
