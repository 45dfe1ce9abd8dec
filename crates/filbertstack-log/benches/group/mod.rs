//! A group of replicas in one process, on real data folders.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_log::Member;
use filbertstack_log::Message;
use filbertstack_log::NodeId;
use filbertstack_log::Replica;
use filbertstack_log::ReplicaSettings;
use filbertstack_log::RoleName;
use filbertstack_log::StateMachine;
use filbertstack_log::Transport;
use filbertstack_log::storage::disk::Folder;
use tempfile::TempDir;

/// The size of a command, in bytes; about that of an idempotency claim.
pub const COMMAND_BYTES: usize = 200;

/// A state machine that counts commands.
#[derive(Default)]
pub struct Count(u64);

impl StateMachine for Count {
    type Outcome = u64;
    type RestoreError = Infallible;

    fn apply(&mut self, _index: u64, _command: &[u8]) -> u64 {
        self.0 += 1;
        self.0
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), Infallible> {
        self.0 = bytes.try_into().map_or(0, u64::from_le_bytes);
        Ok(())
    }
}

#[derive(Clone, Default)]
struct Network(Arc<Mutex<BTreeMap<NodeId, Arc<Replica<Count>>>>>);

impl Transport for Network {
    fn send(&self, to: NodeId, message: Message) {
        let target = self.0.lock().unwrap().get(&to).cloned();
        let bytes = message.to_bytes();
        if let Some(replica) = target {
            replica.deliver(Message::from_bytes(bytes).unwrap());
        }
    }
}

/// Holds the running replicas and their folders.
pub struct Group {
    network: Network,
    replicas: Vec<Arc<Replica<Count>>>,
    _folders: Vec<TempDir>,
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(30)
}

impl Group {
    /// Creates a group of the given number of voters.
    pub fn form(voters: usize) -> Self {
        let network = Network::default();
        let folders: Vec<TempDir> = (0..voters).map(|_| tempfile::tempdir().unwrap()).collect();
        let replicas = folders.iter().map(|dir| {
            let folder = Folder::lock(dir.path()).unwrap();
            let settings = ReplicaSettings::default();
            let started = Replica::start(folder, settings, Count::default(), network.clone());
            let replica = Arc::new(started.unwrap());
            let id = replica.status().id;
            network.0.lock().unwrap().insert(id, Arc::clone(&replica));
            replica
        });
        let replicas: Vec<_> = replicas.collect();
        let members: Vec<Member> = replicas.iter().map(|r| member(r)).collect();
        let wanted = u32::try_from(voters).unwrap();
        replicas[0]
            .create(members[0].clone(), wanted, None, deadline())
            .unwrap();
        while replicas[0].status().node.role != RoleName::Leader {
            thread::sleep(Duration::from_millis(5));
        }
        for member in &members[1..] {
            while replicas[0].add_learner(member.clone(), deadline()).is_err() {}
            while replicas[0]
                .promote(member.id(), deadline(), deadline())
                .is_err()
            {
                thread::sleep(Duration::from_millis(5));
            }
        }
        Self {
            network,
            replicas,
            _folders: folders,
        }
    }

    /// Proposes `rounds` commands one after the other from each of `callers` threads, and returns
    /// the duration of each proposal.
    pub fn propose(&self, callers: usize, rounds: u64) -> Vec<Duration> {
        let call = || {
            let ask = |_| {
                let start = Instant::now();
                self.replicas[0]
                    .propose(vec![7; COMMAND_BYTES], deadline())
                    .unwrap();
                start.elapsed()
            };
            (0..rounds).map(ask).collect::<Vec<Duration>>()
        };
        thread::scope(|scope| {
            let threads: Vec<_> = (0..callers).map(|_| scope.spawn(call)).collect();
            threads
                .into_iter()
                .flat_map(|t| t.join().unwrap())
                .collect()
        })
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        // The network and the replicas hold references to each other; clearing the network breaks
        // the cycle.
        self.network.0.lock().unwrap().clear();
    }
}

fn member(replica: &Replica<Count>) -> Member {
    let node = replica.status().id.0;
    Member {
        node,
        name: format!("entry-{node}"),
        address: format!("127.0.0.1:{}", node % 60_000),
    }
}
