//! The entry process.

pub mod directory;
pub mod server;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_control::document::Weights;
use filbertstack_log::StartError;
use filbertstack_telemetry::Metrics;
use spdlog::info;
use thiserror::Error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::clock::unix_millis;
use crate::control::EXPLAIN_INTERVAL;
use crate::control::api::ControlApi;
use crate::control::follow;
use crate::control::node::Node;
use crate::control::node::serve_followers;
use crate::control::unregistered::register_pending;
use crate::control::voter::Voter;
use crate::control::voter::VoterContext;
use crate::entry::directory::Directory;
use crate::entry::server::Answering;
use crate::link;
use crate::link::Dialer;
use crate::link::messages::EntryRow;
use crate::link::messages::Interest;
use crate::link::messages::Kind;
use crate::link::messages::Row;
use crate::metrics;
use crate::reload::Reload;
use crate::request::Requests;
use crate::settings::Settings;
use crate::weights::cache::Cache;
use crate::weights::served::keep_lists;

/// How often an entry tells the voters that it is there.
pub const OWN_ROW: Duration = Duration::from_millis(500);

/// How often idle connections are looked through.
const PRUNE: Duration = Duration::from_secs(2);

/// How long changes of the registry are gathered before the targets are arranged anew.
const GATHER: Duration = Duration::from_millis(10);

/// How long a leaving entry takes new connections: callers were told its address for that long.
const LINGER: Duration = Duration::from_millis(2_500);

/// What is left of the time to leave for the end itself.
const LAST: Duration = Duration::from_millis(700);

/// How often a leaving entry looks whether its requests are done.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// Why an entry could not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address can't be served.
    #[error("{addr} can't be served: {source}; stop what holds it or change the settings")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The log can't start.
    #[error(transparent)]
    Log(#[from] StartError),
    /// Signals can't be taken.
    #[error("signals can't be taken: {0}")]
    Signals(io::Error),
}

/// Runs an entry until it is told to stop.
///
/// # Errors
/// [`EntryError`] names the remedy.
pub async fn run(settings: Settings, path: PathBuf, metrics: Metrics) -> Result<(), EntryError> {
    let clock = Clock::default();
    let dialer = Dialer::default();
    let metrics = Rc::new(metrics);
    let reload = Rc::new(Reload::new(path, settings.clone()));
    let around = VoterContext {
        dialer: dialer.clone(),
        seeds: reload.seeds(),
        metrics: metrics.clone(),
    };
    let voter = match &settings.node.data {
        Some(data) => Some(Voter::start(&settings.node, data, around)?),
        None => None,
    };
    let node = Rc::new(Node::new(
        (settings.clone(), reload.seeds()),
        clock,
        dialer,
        Interest::All,
        voter,
    ));
    metrics::serve(settings.listen.metrics, &metrics)?;
    let requests = Requests::new(node.clone(), metrics);
    let (leave, leaving) = watch::channel(false);
    let answering = Answering::default();
    let cache = Rc::new(Cache::new(node.clone(), &node.entry_id()));
    serve_all(&node, &requests, &cache, &leaving, &answering)?;
    start_control(&node);
    spawn_local(register_pending(node.clone()));
    spawn_local(keep_targets(node.clone(), requests.clone()));
    spawn_local(keep_loads(node.clone(), requests.clone()));
    spawn_local(cache.clone().keep());
    spawn_local(keep_lists(node.clone(), node.entry_id()));
    spawn_local(tell_own_row(node.clone(), leaving.clone(), cache.held()));
    spawn_local(prune(requests.clone()));
    info!("entry started", kv: {
        name = settings.node.name, zone = settings.node.zone, voter = node.voter.is_some()
    });
    spawn_local(reload.clone().watch_file());
    wait_for_end(&reload).await.map_err(EntryError::Signals)?;
    leave_system(&node, &requests, &leave, &answering).await;
    Ok(())
}

fn serve_all(
    node: &Rc<Node>,
    requests: &Rc<Requests>,
    cache: &Rc<Cache>,
    leaving: &watch::Receiver<bool>,
    answering: &Answering,
) -> Result<(), EntryError> {
    let listen = &node.settings.listen;
    let bind =
        |addr: SocketAddr| server::bind(addr).map_err(|source| EntryError::Bind { addr, source });
    let never = watch::channel(false).1;
    if let Some(addr) = listen.front {
        spawn_local(server::serve(
            bind(addr)?,
            requests.clone(),
            leaving.clone(),
            answering.clone(),
        ));
    }
    let directory = Rc::new(Directory::new(node.clone(), leaving.clone()));
    for addr in [listen.ready, listen.directory].into_iter().flatten() {
        spawn_local(server::serve(
            bind(addr)?,
            directory.clone(),
            never.clone(),
            Answering::default(),
        ));
    }
    if let Some(addr) = listen.control {
        let calls = Rc::new(ControlApi::new(node.clone()));
        spawn_local(server::serve(
            bind(addr)?,
            calls,
            never,
            Answering::default(),
        ));
    }
    let links = bind(node.settings.node.link)?;
    spawn_local(link::serve(links, cache.clone()));
    Ok(())
}

fn start_control(node: &Rc<Node>) {
    match &node.voter {
        Some(voter) => {
            serve_followers(node);
            spawn_local(follow::follow_peers(node.clone(), voter.clone()));
        }
        None => {
            spawn_local(follow::follow_group(node.clone()));
        }
    }
}

/// Keeps the targets in line with the registry and the declared state.
async fn keep_targets(node: Rc<Node>, requests: Rc<Requests>) {
    let mut people = node.registry.watch();
    let mut declared = node.declared.watch();
    loop {
        requests.targets().refresh();
        let rows = node.registry.present();
        let entries = rows
            .iter()
            .filter(|(_, k, _)| matches!(**k, Kind::Entry(_)));
        requests.share(u32::try_from(entries.count()).unwrap_or(u32::MAX));
        tokio::select! {
            _ = people.changed() => {}
            _ = declared.changed() => {}
            // A version of weights becomes binding as time passes.
            () = sleep(OWN_ROW) => {}
        }
        sleep(GATHER).await;
    }
}

/// Keeps the loads of the targets as they are told.
async fn keep_loads(node: Rc<Node>, requests: Rc<Requests>) {
    loop {
        node.loads.arrived().await;
        requests.targets().report(&node.loads.drain());
    }
}

async fn tell_own_row(
    node: Rc<Node>,
    mut leaving: watch::Receiver<bool>,
    mut held: watch::Receiver<Vec<Weights>>,
) {
    let Some(front) = node.settings.listen.front else {
        return;
    };
    let born = unix_millis();
    let mut complained: Option<Instant> = None;
    for sequence in 1.. {
        let leaves = *leaving.borrow_and_update();
        let row = Row {
            id: node.entry_id(),
            born,
            sequence,
            gone: false,
            kind: Some(Kind::Entry(EntryRow {
                front: front.to_string(),
                zone: node.settings.node.zone.clone(),
                leaving: leaves || !node.declared.is_loaded(),
                link: node.settings.node.link.to_string(),
                holds: held.borrow_and_update().clone(),
            })),
        };
        match node.register(vec![row.clone()]).await {
            Ok(()) => complained = None,
            Err(error) => {
                if complained.is_none_or(|at| at.elapsed() >= EXPLAIN_INTERVAL) {
                    complained = Some(Instant::now());
                    info!("own row not registered", kv: { error = error.to_string() });
                }
                node.unregistered.put(row, node.clock.now());
            }
        }
        tokio::select! {
            () = sleep(OWN_ROW) => {}
            _ = leaving.changed(), if !leaves => {}
            _ = held.changed() => {}
        }
    }
}

async fn prune(requests: Rc<Requests>) {
    loop {
        sleep(PRUNE).await;
        requests.prune();
    }
}

/// Waits for the signal that ends the process; reads the settings again on SIGHUP.
pub(crate) async fn wait_for_end(reload: &Reload) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload.read_again(),
        }
    }
}

/// Ends without cutting off a request: no new callers are sent here, those who come still are
/// served, and the process ends when all have their answers.
async fn leave_system(
    node: &Rc<Node>,
    requests: &Rc<Requests>,
    leave: &watch::Sender<bool>,
    answering: &Answering,
) {
    let grace = node.settings.bounds.grace.saturating_sub(LAST);
    let started = Instant::now();
    info!("leaving", kv: { grace_ms = grace.as_millis(), requests = requests.under_way() });
    requests.leave(grace);
    leave.send_replace(true);
    let voter = node.voter.clone();
    let handing = spawn_local(async move {
        if let Some(voter) = voter {
            voter.transfer_leader().await;
        }
    });
    loop {
        let spent = started.elapsed();
        let answered = requests.under_way() == 0 && answering.count() == 0;
        let idle = answered && handing.is_finished();
        let done = idle && spent >= LINGER.min(grace);
        if done || spent >= grace {
            break;
        }
        sleep(LEAVE_POLL).await;
    }
    info!("stopped", kv: { requests = requests.under_way(), unread = answering.count() });
}
