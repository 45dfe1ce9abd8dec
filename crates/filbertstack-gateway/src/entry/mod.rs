//! The entry process: its start, its periodic tasks and its orderly stop.

mod demand;
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
use crate::control::crash_file;
use crate::control::follow;
use crate::control::node::Node;
use crate::control::node::serve_followers;
use crate::control::observations::share_observations;
use crate::control::unregistered::register_pending;
use crate::control::voter::Voter;
use crate::control::voter::VoterContext;
use crate::entry::demand::share_demand;
use crate::entry::directory::Directory;
use crate::entry::server::ActiveConnections;
use crate::link;
use crate::link::Dialer;
use crate::link::messages::EntryRow;
use crate::link::messages::Interest;
use crate::link::messages::Kind;
use crate::link::messages::Row;
use crate::metrics;
use crate::reload::Reload;
use crate::request::Requests;
use crate::request::residency::RegionLog;
use crate::room::Room;
use crate::settings::Settings;
use crate::slots::Slots;
use crate::weights::cache::Cache;
use crate::weights::served::keep_lists;

/// How often an entry registers itself with the voters.
pub const ROW_INTERVAL: Duration = Duration::from_millis(500);

/// How often idle connections to targets are checked for their age.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// How long changes of the registry are collected before the targets are refreshed.
const REFRESH_DELAY: Duration = Duration::from_millis(10);

/// How long a leaving entry accepts new connections: callers keep its address for that long.
const MIN_LEAVE_TIME: Duration = Duration::from_millis(2_500);

/// The part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(700);

/// How often a leaving entry checks whether its requests are done.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// The reason why an entry could not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address can't be bound.
    #[error(
        "{addr} can't be bound: {source}; stop the process that uses it or change the settings"
    )]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The replicated log can't start.
    #[error(transparent)]
    Log(#[from] StartError),
    /// The signal handlers can't be installed.
    #[error("signal handlers can't be installed: {0}")]
    Signals(io::Error),
}

/// Runs an entry until a signal tells it to stop.
///
/// # Errors
/// [`EntryError`] if the entry can't start.
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
    let requests = Requests::new(node.clone(), metrics.clone());
    let shown = requests.clone();
    let state = Box::new(move || shown.state().render());
    metrics::serve(&settings, &metrics, Some(state))?;
    let (leave, leaving) = watch::channel(false);
    let active = ActiveConnections::default();
    let cache = Rc::new(Cache::new(node.clone(), &node.entry_id()));
    serve_all(&node, &requests, &cache, &leaving, &active)?;
    start_control(&node);
    spawn_local(register_pending(node.clone()));
    spawn_local(refresh_targets(node.clone(), requests.clone()));
    spawn_local(receive_loads(node.clone(), requests.clone()));
    spawn_local(share_observations(node.clone()));
    spawn_local(share_demand(node.clone(), requests.clone()));
    if let Some(folder) = &settings.node.data {
        crash_file::load(&node, folder);
        spawn_local(crash_file::save_changes(node.clone(), folder.clone()));
    }
    spawn_local(cache.clone().keep());
    spawn_local(keep_lists(node.clone(), node.entry_id()));
    spawn_local(register_own_row(
        node.clone(),
        leaving.clone(),
        cache.held(),
    ));
    spawn_local(prune_idle(requests.clone()));
    info!("entry started", kv: {
        name = settings.node.name, zone = settings.node.zone, voter = node.voter.is_some()
    });
    spawn_local(reload.clone().watch_file());
    wait_for_stop(&reload).await.map_err(EntryError::Signals)?;
    leave_system(&node, &requests, &leave, &active).await;
    Ok(())
}

fn serve_all(
    node: &Rc<Node>,
    requests: &Rc<Requests>,
    cache: &Rc<Cache>,
    leaving: &watch::Receiver<bool>,
    active: &ActiveConnections,
) -> Result<(), EntryError> {
    let listen = &node.settings.listen;
    let bind =
        |addr: SocketAddr| server::bind(addr).map_err(|source| EntryError::Bind { addr, source });
    let limits = node.settings.limits;
    let shares = limits.shares();
    let slots = |listener, share| Slots::new(listener, share, node.clock);
    let never_leaving = watch::channel(false).1;
    if let Some(addr) = listen.front {
        spawn_local(server::serve(
            bind(addr)?,
            requests.clone(),
            leaving.clone(),
            active.clone(),
            slots("callers", shares.callers),
        ));
    }
    let directory = Rc::new(Directory::new(node.clone(), leaving.clone()));
    let lookups = [
        (listen.ready, slots("readiness", shares.ready)),
        (listen.directory, slots("directory", shares.directory)),
    ];
    for (addr, slots) in lookups {
        let Some(addr) = addr else {
            continue;
        };
        spawn_local(server::serve(
            bind(addr)?,
            directory.clone(),
            never_leaving.clone(),
            ActiveConnections::default(),
            slots,
        ));
    }
    if let Some(addr) = listen.control {
        let calls = Rc::new(ControlApi::new(node.clone()));
        spawn_local(server::serve(
            bind(addr)?,
            calls,
            never_leaving,
            ActiveConnections::default(),
            slots("control", shares.control),
        ));
    }
    let links = link::Listener {
        socket: bind(node.settings.node.link)?,
        slots: slots("links", shares.links),
        room: Room::new(limits.links_room(), node.clock),
    };
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

/// Refreshes the targets whenever the registry or the declared state changes.
async fn refresh_targets(node: Rc<Node>, requests: Rc<Requests>) {
    let mut people = node.registry.watch();
    let mut declared = node.declared.watch();
    let mut limits = node.limits.watch();
    let region_log = RegionLog::default();
    loop {
        requests.refresh_targets();
        requests.count_evacuated(node.declared.evacuations().count());
        let rows = node.registry.present();
        region_log.update(&node, &rows);
        let entries = rows
            .iter()
            .filter(|(_, k, _)| matches!(**k, Kind::Entry(_)));
        requests.set_entries(u32::try_from(entries.count()).unwrap_or(u32::MAX));
        tokio::select! {
            _ = people.changed() => {}
            _ = declared.changed() => {}
            _ = limits.changed() => {}
            // A version of the weights becomes mandatory by the passing of time, without a change.
            () = sleep(ROW_INTERVAL) => {}
        }
        sleep(REFRESH_DELAY).await;
    }
}

/// Takes over the loads of the targets whenever new ones arrive.
async fn receive_loads(node: Rc<Node>, requests: Rc<Requests>) {
    loop {
        node.loads.arrived().await;
        requests.targets().report(&node.loads.drain());
    }
}

/// Registers this entry with the voters at an interval, and whenever its state changes. Rows that could
/// not be registered are kept to be registered later.
async fn register_own_row(
    node: Rc<Node>,
    mut leaving: watch::Receiver<bool>,
    mut held: watch::Receiver<Vec<Weights>>,
) {
    let Some(front) = node.settings.listen.front else {
        return;
    };
    let born = unix_millis();
    let mut last_logged: Option<Instant> = None;
    for sequence in 1.. {
        let leaving_now = *leaving.borrow_and_update();
        let row = Row {
            id: node.entry_id(),
            born,
            sequence,
            gone: false,
            kind: Some(Kind::Entry(EntryRow {
                front: front.to_string(),
                zone: node.settings.node.zone.clone(),
                leaving: leaving_now || !node.declared.is_loaded(),
                link: node.settings.node.link.to_string(),
                holds: held.borrow_and_update().clone(),
            })),
        };
        match node.register(vec![row.clone()]).await {
            Ok(()) => last_logged = None,
            Err(error) => {
                if last_logged.is_none_or(|at| at.elapsed() >= EXPLAIN_INTERVAL) {
                    last_logged = Some(Instant::now());
                    info!("own row not registered", kv: { error = error.to_string() });
                }
                node.unregistered.put(row, node.clock.now());
            }
        }
        tokio::select! {
            () = sleep(ROW_INTERVAL) => {}
            _ = leaving.changed(), if !leaving_now => {}
            _ = held.changed() => {}
        }
    }
}

async fn prune_idle(requests: Rc<Requests>) {
    loop {
        sleep(PRUNE_INTERVAL).await;
        requests.prune_idle();
    }
}

/// Waits for the signal that ends the process, and reloads the settings file on each SIGHUP.
pub(crate) async fn wait_for_stop(reload: &Reload) -> io::Result<()> {
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

/// Stops without cutting off a request: the directory no longer names this entry, callers that still
/// connect are served, and the process ends once all have their answers or the grace period is over.
async fn leave_system(
    node: &Rc<Node>,
    requests: &Rc<Requests>,
    leave: &watch::Sender<bool>,
    active: &ActiveConnections,
) {
    let grace = node.settings.bounds.grace.saturating_sub(EXIT_RESERVE);
    let started = Instant::now();
    info!("leaving", kv: { grace_ms = grace.as_millis(), requests = requests.in_flight() });
    requests.leave(grace);
    leave.send_replace(true);
    let voter = node.voter.clone();
    let hand_over_task = spawn_local(async move {
        if let Some(voter) = voter {
            voter.transfer_leader().await;
        }
    });
    loop {
        let spent = started.elapsed();
        requests.answer_before_end();
        let all_answered = requests.in_flight() == 0 && active.count() == 0;
        let idle = all_answered && hand_over_task.is_finished();
        let done = idle && spent >= MIN_LEAVE_TIME.min(grace);
        if done || spent >= grace {
            break;
        }
        sleep(LEAVE_POLL).await;
    }
    requests.stop();
    info!("stopped", kv: { requests = requests.in_flight(), unread = active.count() });
}
