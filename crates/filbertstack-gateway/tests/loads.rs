//! Loads of hundreds of engines on their way to the entries that use them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_gateway::control::loads::Loads;
use filbertstack_gateway::control::loads::Wants;
use filbertstack_gateway::link;
use filbertstack_gateway::link::Dialer;
use filbertstack_gateway::link::Handler;
use filbertstack_gateway::link::HandlerReply;
use filbertstack_gateway::link::Sender;
use filbertstack_gateway::link::messages::Empty;
use filbertstack_gateway::link::messages::LoadRow;
use filbertstack_gateway::link::messages::Loads as Told;
use filbertstack_gateway::link::messages::Notification;
use filbertstack_gateway::link::messages::Question;
use filbertstack_gateway::link::messages::Reply;
use filbertstack_gateway::link::messages::Watch;
use filbertstack_gateway::link::messages::pack_addr;
use filbertstack_policy::subset;
use filbertstack_policy::subset::Candidate;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(20);

/// Engines of a deployment of hundreds of instances.
const ENGINES: u64 = 300;

/// What a node without an engine may send and receive for control, in bytes a second.
const BYTES_PER_S: usize = 8_000;

/// How often an engine's load is told, a second.
const REPORTS_PER_S: usize = 10;

/// A voter that passes loads on.
#[derive(Default)]
struct Voter {
    loads: Loads,
    followers: RefCell<Vec<Sender>>,
}

impl Handler for Voter {
    async fn answer(self: Rc<Self>, _question: Question) -> HandlerReply {
        Reply::Done(Empty {}).into()
    }

    fn receive(self: Rc<Self>, news: Notification, sender: &Sender) {
        if let Notification::Watch(watch) = news {
            let engines = watch.engines.into_iter().collect();
            self.loads.follow(sender, Wants::Engines(engines));
            self.followers.borrow_mut().push(sender.clone());
        }
    }
}

impl Voter {
    async fn serve() -> (Rc<Self>, SocketAddr) {
        let voter = Rc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("bound");
        tokio::task::spawn_local(link::serve(listener, voter.clone()));
        (voter, addr)
    }

    async fn await_followers(&self, count: usize) {
        while self.followers.borrow().len() < count {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

fn row(engine: u64, running: u32) -> LoadRow {
    LoadRow {
        engine,
        running,
        waiting: 1,
        pace: 100,
    }
}

fn all(running: u32) -> Vec<LoadRow> {
    (0..ENGINES).map(|engine| row(engine, running)).collect()
}

async fn next(news: &mut mpsc::UnboundedReceiver<Notification>) -> Vec<LoadRow> {
    let came = timeout(PATIENCE, news.recv()).await.expect("in time");
    let Some(Notification::Loads(loads)) = came else {
        panic!("not loads: {came:?}");
    };
    loads.rows
}

/// Guards against an entry being sent the loads of all engines of a large deployment.
#[tokio::test(flavor = "current_thread")]
async fn an_entry_is_told_the_loads_of_its_engines_alone() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (voter, addr) = Voter::serve().await;
            let (sender, mut news) = mpsc::unbounded_channel();
            let link = Dialer::subscribe(addr, sender).await.expect("it listens");
            link.tell(Notification::Watch(Watch {
                engines: vec![3, 7],
            }));
            voter.await_followers(1).await;
            voter.loads.take(all(1), true);
            // Only the latest of what comes before a turn is told.
            voter.loads.take(all(2), true);
            voter.loads.flush();
            assert_eq!(next(&mut news).await, [row(3, 2), row(7, 2)]);
            link.tell(Notification::Watch(Watch { engines: vec![8] }));
            voter.await_followers(2).await;
            voter.loads.take(all(3), true);
            voter.loads.flush();
            assert_eq!(next(&mut news).await, [row(8, 3)]);
        })
        .await;
}

/// Guards against a voter whose memory grows by what a follower on a choked link does not read.
#[tokio::test(flavor = "current_thread")]
async fn what_a_follower_does_not_read_is_left_out() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (voter, addr) = Voter::serve().await;
            let (sender, _news) = mpsc::unbounded_channel();
            let link = Dialer::subscribe(addr, sender).await.expect("it listens");
            link.tell(Notification::Watch(Watch {
                engines: (0..ENGINES).collect(),
            }));
            voter.await_followers(1).await;
            // Nothing else runs meanwhile, as if the link took nothing.
            for running in 0..500 {
                voter.loads.take(all(running), true);
                voter.loads.flush();
            }
            let waiting = voter.followers.borrow()[0].backlog();
            assert!((1..=8).contains(&waiting), "{waiting} frames wait");
        })
        .await;
}

/// Guards against control traffic that grows with the deployment: two thousand engines, one entry.
#[test]
fn an_entry_s_loads_stay_within_its_share_of_a_link() {
    let zones: Vec<String> = (0..13).map(|n| format!("z{n}")).collect();
    let names: Vec<String> = (0..2_000)
        .map(|n| format!("10.1.0.1:{}", 8_000 + n))
        .collect();
    let candidates: Vec<Candidate<'_, u64>> = names
        .iter()
        .enumerate()
        .map(|(n, name)| Candidate {
            key: pack_addr(name.parse().expect("an address")).expect("IPv4"),
            name,
            zone: &zones[n % zones.len()],
        })
        .collect();
    let used = subset::choose("entry-1", "z0", &candidates);
    let rows = used.into_iter().map(|engine| LoadRow {
        waiting: 0,
        ..row(engine, 8)
    });
    let told = Told {
        rows: rows.collect(),
    };
    let bytes = Notification::Loads(told).encoded_len() * REPORTS_PER_S;
    assert!(bytes <= BYTES_PER_S, "{bytes} bytes a second");
}
